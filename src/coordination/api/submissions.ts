/** Answers submissions: a known id first, then what can't be accepted, then the commit. */
import { POLL_LIMIT_MS } from '../../constants/api.js';
import type { JobSpec } from '../../protocol/model.js';
import type { Team } from '../../protocol/settings.js';
import { parseSubmission, submissionId } from '../../protocol/user-codec.js';
import { parseJson } from '../../protocol/validation.js';
import { readCatalog } from '../../storage/catalog.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import type { HttpReply } from '../../transport/http-server.js';
import type { AbsenceProof } from './absence-proof.js';
import { TYPES_UNKNOWN, neverRuns } from './admission.js';
import {
  errorReply,
  notCommitted,
  notStarted,
  retryLater,
  stateReply,
  storeSilent,
} from './job-answers.js';
import type { JobChecks } from './job-checks.js';
import type { JobQueries } from './job-queries.js';
import type { SubmissionQueue } from './submission-queue.js';

const TOO_LARGE = 'body: larger than the service can keep';

const typesUnknown = (): HttpReply => retryLater(503, 'machine types not known yet');

/** What submissions are answered with. */
export interface SubmissionsOptions {
  teams: readonly Team[];
  /** Bytes that the state service takes for one job's record. */
  valueBytes: number;
  replica: StoreReplica;
  checks: JobChecks;
  queries: JobQueries;
  queue: SubmissionQueue;
}

/** Takes submissions; nothing is called accepted before the state service holds it. */
export class Submissions {
  constructor(private readonly options: SubmissionsOptions) {}

  /** Answers a submission with this body; null: the body was too long to be read. */
  async submit(text: string | null): Promise<HttpReply> {
    const json = parseJson(text);
    if (!json.ok) return errorReply(400, json.error);
    const id = submissionId(json.value);
    if (id === null) return errorReply(400, 'ref: must look like j-000412');
    // A known id is answered first, whatever else the body says. What has ended stays so; of what
    // has not, this node may not have heard the end yet, and must not give an older answer.
    const lookup = await this.options.queries.heardOf(id);
    if (lookup?.kind === 'found') return stateReply(id, lookup.job.state);
    if (!this.options.replica.isLoaded) return notStarted();
    if (lookup?.kind === 'unsure') return storeSilent();
    const parsed = parseSubmission(json.value);
    if (!parsed.ok) return this.refuse(id, 400, parsed.error);
    const reason = this.refusalOf(parsed.value);
    if (reason === TYPES_UNKNOWN) return this.unlessKnown(id, typesUnknown);
    return reason === null ? this.accept(parsed.value) : this.refuse(id, 422, reason);
  }

  /** Why a job can't be accepted if it is new, or TYPES_UNKNOWN; null: it can be. */
  private refusalOf(spec: JobSpec): string | null {
    const { teams, replica, queue, valueBytes } = this.options;
    const reason = neverRuns(spec, teams, readCatalog(replica));
    if (reason !== null) return reason;
    // Accepted it could never be written, and its user would be told to come back for ever.
    return queue.recordBytes(spec) > valueBytes ? TOO_LARGE : null;
  }

  /** Refuses a submission for good. Its job may have been accepted before, which must be ruled out. */
  private refuse(id: string, status: 400 | 422, error: string): Promise<HttpReply> {
    return this.unlessKnown(id, () => errorReply(status, error));
  }

  /** The state of the job if the state service holds it; this reply if it is proven absent. */
  private async unlessKnown(
    id: string,
    replyOf: (proof: AbsenceProof) => HttpReply,
  ): Promise<HttpReply> {
    const stored = await this.options.checks.check(id, POLL_LIMIT_MS);
    if (stored.kind === 'unsure') return storeSilent();
    if (stored.kind === 'found') return stateReply(id, stored.job.state);
    return replyOf(stored.proof);
  }

  private async accept(spec: JobSpec): Promise<HttpReply> {
    const { queue } = this.options;
    if (queue.full) return retryLater(429, 'too many submissions');
    const outcome = await queue.commit(spec);
    if (outcome === 'accepted') return stateReply(spec.id, 'queued', 201);
    // The state service may have taken the job before its limits became smaller.
    if (outcome === 'invalid') return this.refuse(spec.id, 422, TOO_LARGE);
    if (outcome === 'known') return this.unlessKnown(spec.id, notCommitted);
    return notCommitted();
  }
}
