/** Answers submissions: a known id first, then what can't be accepted, then the commit. */
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

/** What the handler of submissions works with. */
export interface SubmissionsOptions {
  teams: readonly Team[];
  /** Bytes that the key-value store takes for one job's record. */
  valueBytes: number;
  replica: StoreReplica;
  checks: JobChecks;
  queries: JobQueries;
  queue: SubmissionQueue;
}

/** Takes submissions; none is confirmed before the key-value store holds it. */
export class Submissions {
  constructor(private readonly options: SubmissionsOptions) {}

  /** Answers a submission with this body; null: the body was too long to be read. */
  async submit(text: string | null): Promise<HttpReply> {
    const json = parseJson(text);
    if (!json.ok) return errorReply(400, json.error);
    const id = submissionId(json.value);
    if (id === null) return errorReply(400, 'ref: must look like j-000412');
    // A known id is answered first, whatever else the body says. A finished job stays finished; the
    // end of another may not have reached this replica yet, and the answer must not be an older
    // one.
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

  /** Why a job can't be accepted if it is new, or MACHINE_TYPES_UNKNOWN; null: it can be. */
  private refusalReason(spec: JobSpec): string | null {
    const { teams, replica, queue, valueBytes } = this.options;
    const reason = reasonNeverRunnable(spec, teams, readCatalog(replica));
    if (reason !== null) return reason;
    // Its record could never be written, and its user would be told to retry for ever.
    return queue.recordBytes(spec) > valueBytes ? RECORD_TOO_LARGE : null;
  }

  /**
   * Refuses a submission for good. Its job may have been accepted before, which must be ruled out.
   */
  private refuse(id: string, status: 400 | 422, error: string): Promise<HttpReply> {
    return this.unlessKnown(id, () => errorReply(status, error));
  }

  /** The state of the job if the key-value store holds it; this reply if it is proven absent. */
  private async unlessKnown(
    id: string,
    replyOf: (proof: AbsenceProof) => HttpReply,
  ): Promise<HttpReply> {
    const stored = await this.options.checks.check(id, JOB_CHECK_TIMEOUT_MS);
    if (stored.kind === 'unknown') return storeNotResponding();
    if (stored.kind === 'found') return stateReply(id, stored.job.state);
    return replyOf(stored.proof);
  }

  private async accept(spec: JobSpec): Promise<HttpReply> {
    const { queue } = this.options;
    if (queue.isFull) return temporaryError(429, 'too many submissions');
    const outcome = await queue.commit(spec);
    if (outcome === 'accepted') return stateReply(spec.id, 'queued', 201);
    // The key-value store may have taken the job before its limits became smaller.
    if (outcome === 'invalid') return this.refuse(spec.id, 422, RECORD_TOO_LARGE);
    if (outcome === 'exists') return this.unlessKnown(spec.id, notCommittedInTime);
    return notCommittedInTime();
  }
}
