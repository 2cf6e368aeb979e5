/**
 * Handles submissions: replies with the state of jobs that exist, refuses malformed submissions
 * (400) and jobs that can never run or whose record is too large (422), and commits the others.
 */
import { JOB_CHECK_TIMEOUT_MS } from '../../constants/api.js';
import type { JobSpec } from '../../protocol/model.js';
import type { Team } from '../../protocol/settings.js';
import { parseSubmission, submissionId } from '../../protocol/user-codec.js';
import { parseJson } from '../../protocol/validation.js';
import { readCatalog } from '../../storage/catalog.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import type { HttpReply } from '../../transport/http-server.js';
import type { AbsenceProof } from './absence-proof.js';
import { MACHINE_TYPES_UNKNOWN, reasonNeverRunnable } from './admission.js';
import {
  errorReply,
  notCommittedInTime,
  stillStarting,
  temporaryError,
  stateReply,
  storeNotResponding,
} from './http-replies.js';
import type { JobChecks } from './job-checks.js';
import type { JobQueries } from './job-queries.js';
import type { SubmissionQueue } from './submission-queue.js';

const RECORD_TOO_LARGE = 'body: larger than the service can keep';

const machineTypesUnknown = (): HttpReply => temporaryError(503, 'machine types not known yet');

/** Dependencies and limits of submissions. */
export interface SubmissionsOptions {
  teams: readonly Team[];
  /** Largest size in bytes of a job's record in the key-value store. */
  valueBytes: number;
  replica: StoreReplica;
  checks: JobChecks;
  queries: JobQueries;
  queue: SubmissionQueue;
}

/** Handles submissions; none is confirmed before it is committed to the key-value store. */
export class Submissions {
  constructor(private readonly options: SubmissionsOptions) {}

  /** Answers a submission. `text`: its body; null: the body was longer than the limit. */
  async submit(text: string | null): Promise<HttpReply> {
    const json = parseJson(text);
    if (!json.ok) return errorReply(400, json.error);
    const id = submissionId(json.value);
    if (id === null) return errorReply(400, 'ref: must look like j-000412');
    // A known id is answered with the job's state, whatever else the body contains. A finished job
    // stays finished. An open one is checked with the store, since its end may not have reached
    // this replica yet and the reply must not be older than one that another controller gave.
    const lookup = await this.options.queries.lookUpIfKnown(id);
    if (lookup?.kind === 'found') return stateReply(id, lookup.job.state);
    if (!this.options.replica.isLoaded) return stillStarting();
    if (lookup?.kind === 'unknown') return storeNotResponding();
    const parsed = parseSubmission(json.value);
    if (!parsed.ok) return this.refuse(id, 400, parsed.error);
    const reason = this.refusalReason(parsed.value);
    if (reason === MACHINE_TYPES_UNKNOWN) return this.unlessKnown(id, machineTypesUnknown);
    return reason === null ? this.accept(parsed.value) : this.refuse(id, 422, reason);
  }

  /** Returns why a new job can't be accepted, or MACHINE_TYPES_UNKNOWN; null: it can be. */
  private refusalReason(spec: JobSpec): string | null {
    const { teams, replica, queue, valueBytes } = this.options;
    const reason = reasonNeverRunnable(spec, teams, readCatalog(replica));
    if (reason !== null) return reason;
    // A larger record can never be written. Without this refusal, its user would retry without end.
    return queue.recordBytes(spec) > valueBytes ? RECORD_TOO_LARGE : null;
  }

  /** Refuses a submission permanently, unless its job was accepted before. */
  private refuse(id: string, status: 400 | 422, error: string): Promise<HttpReply> {
    return this.unlessKnown(id, () => errorReply(status, error));
  }

  /**
   * Replies with the job's state if the key-value store holds the job, and with the result of
   * `replyIfAbsent` if the job is proven to be absent.
   */
  private async unlessKnown(
    id: string,
    replyIfAbsent: (proof: AbsenceProof) => HttpReply,
  ): Promise<HttpReply> {
    const lookup = await this.options.checks.check(id, JOB_CHECK_TIMEOUT_MS);
    if (lookup.kind === 'unknown') return storeNotResponding();
    if (lookup.kind === 'found') return stateReply(id, lookup.job.state);
    return replyIfAbsent(lookup.proof);
  }

  private async accept(spec: JobSpec): Promise<HttpReply> {
    const { queue } = this.options;
    if (queue.isFull) return temporaryError(429, 'too many submissions');
    const outcome = await queue.commit(spec);
    if (outcome === 'accepted') return stateReply(spec.id, 'queued', 201);
    // The key-value store may have accepted the job earlier, when its size limits were larger.
    if (outcome === 'invalid') return this.refuse(spec.id, 422, RECORD_TOO_LARGE);
    if (outcome === 'exists') return this.unlessKnown(spec.id, notCommittedInTime);
    return notCommittedInTime();
  }
}
