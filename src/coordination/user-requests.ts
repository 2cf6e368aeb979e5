import {
  CHECK_QUEUE,
  GROUP_COMMIT_MS,
  GUARDS_PER_OP,
  POLL_LIMIT_MS,
  RETRY_AFTER_S,
  SUBMIT_BYTES,
  SUBMIT_LIMIT_MS,
  SUBMIT_QUEUE,
  TXN_BYTES,
  WATCHED_MS,
} from '../constants.js';
import { bytesOf, type Committer } from '../storage/committer.js';
import type { RateLimiter } from '../storage/rate-limiter.js';
import { readCatalog } from '../storage/catalog.js';
import { finalKey, jobKey } from '../storage/keys.js';
import type { Log } from '../storage/log.js';
import type { FinalRecord, JobRecord } from '../storage/records.js';
import type { StoreReplica } from '../storage/store-replica.js';
import type { Change, Guard, StateApi } from '../protocol/state-api.js';
import type { Team } from '../protocol/settings.js';
import type { JobSpec, JobState, MachineType } from '../protocol/model.js';
import {
  encodeJobState,
  encodeJobView,
  isJobId,
  parseJson,
  parseSubmission,
  submissionId,
} from '../protocol/user-codec.js';
import type { Clock } from '../transport/clock.js';
import type { HttpReply } from '../transport/http-server.js';

/** What the state service holds on a job at the moment of asking; null: nothing. */
type Known = { state: JobState; done: number; running: number; final: boolean } | null;

interface Check {
  id: string;
  jobRevision: number;
  resolve: (known: Known | 'unsure') => void;
  settled: boolean;
  /** Ends its timer: thousands left to run out would each wake the process. */
  cancel: () => void;
}

/** What became of a submission; 'invalid': the state service can't hold it. */
type Accepted = 'accepted' | 'known' | 'unsure' | 'invalid';

interface Submission {
  spec: JobSpec;
  resolve: (result: Accepted) => void;
  settled: boolean;
  cancel: () => void;
}

/** Why a job can never run, or null. 'unknown': the machine types are not known yet. */
export function neverRuns(
  spec: JobSpec,
  teams: readonly Team[],
  types: readonly MachineType[] | null,
): string | 'unknown' | null {
  const team = teams.find((one) => one.name === spec.team);
  if (!team) return `crew: no team ${spec.team}`;
  const times = spec.kind === 'array' ? 1 : spec.tasks;
  if (spec.cpus * times > team.cpusMax || spec.gpus * times > team.gpusMax) {
    return 'cores: more than the team may use';
  }
  if (types === null) return 'unknown';
  const fitting = types.filter(
    (type) =>
      (spec.types === null || spec.types.includes(type.name)) &&
      (spec.zone === null || type.zones.includes(spec.zone)) &&
      type.cpus >= spec.cpus &&
      type.gpus >= spec.gpus &&
      type.memoryGb >= spec.memoryGb,
  );
  if (fitting.length === 0) return 'larvae: a task fits no allowed machine type';
  // At most half of a gang may be in one zone, and all of it runs at the same time.
  if (spec.kind === 'gang' && spec.spread && spec.tasks > 1) {
    const zones = new Set(spec.zone === null ? fitting.flatMap((type) => type.zones) : [spec.zone]);
    if (spec.oneZone || zones.size < 2) return 'apart: all tasks at once would be in one zone';
  }
  return null;
}

const TOO_LARGE = 'body: larger than the service can keep';

const later = (status: number, error: string): HttpReply => ({
  status,
  body: { error },
  retryAfterS: RETRY_AFTER_S,
});

/** Serves users. Nothing is told to one before the state service holds it. */
export class UserRequests {
  private readonly checks: Check[] = [];
  private readonly submissions: Submission[] = [];
  /** Polls that wait for a watch sent after they came. */
  private readonly watching = new Set<{
    from: number;
    resolve: (fresh: boolean) => void;
    cancel: () => void;
  }>();
  private checking = false;
  private checkedAt = -Infinity;
  private committing = 0;
  /** Answers to submissions by status, for whoever watches the program. */
  readonly answers = new Map<number, number>();

  constructor(
    private readonly teams: readonly Team[],
    private readonly txnOps: number,
    private readonly replica: StoreReplica,
    private readonly api: StateApi,
    private readonly limiter: RateLimiter,
    private readonly committer: Committer,
    private readonly clock: Clock,
    private readonly log: Log,
    /** Told of the jobs of each commit; `cancelled`: they are over by it. */
    private readonly committed: (jobs: string[], cancelled?: { tasks: number }) => void,
    /** ms between two checking transactions: what comes meanwhile shares the next. */
    private readonly checkMs: number,
    /** Bytes that the state service takes for one job's record. */
    private readonly valueBytes: number,
  ) {
    replica.onFresh((sentAt) => this.fresh(sentAt));
  }

  get ready(): boolean {
    return this.replica.loaded;
  }

  // --- Submissions ---------------------------------------------------------------------------

  async submit(text: string | null): Promise<HttpReply> {
    const reply = await this.answerSubmission(text);
    this.answers.set(reply.status, (this.answers.get(reply.status) ?? 0) + 1);
    return reply;
  }

  private async answerSubmission(text: string | null): Promise<HttpReply> {
    const json = parseJson(text);
    if (!json.ok) return { status: 400, body: { error: json.error } };
    const id = submissionId(json.value);
    if (id === null) return { status: 400, body: { error: 'ref: must look like j-000412' } };
    if (!this.replica.loaded) return later(503, 'starting');
    // A known id is answered first, whatever else the body says. What has ended stays so; of what
    // has not, this node may not have heard the end yet, and must not give an older answer.
    const known = await this.whatIsKnown(id);
    if (known === 'unsure') return later(503, 'state service does not answer');
    if (known) return { status: 200, body: encodeJobState(id, known.state) };
    const parsed = parseSubmission(json.value);
    const types = readCatalog(this.replica);
    let reason = parsed.ok ? neverRuns(parsed.value, this.teams, types) : parsed.error;
    // Accepted it could never be written, and its user would be told to come back for ever.
    if (parsed.ok && reason === null && this.recordBytes(parsed.value) > this.valueBytes) {
      reason = TOO_LARGE;
    }
    if (!parsed.ok || reason !== null) {
      const stored = await this.check(id, SUBMIT_LIMIT_MS);
      if (stored === 'unsure') return later(503, 'state service does not answer');
      if (stored) return { status: 200, body: encodeJobState(id, stored.state) };
      if (!parsed.ok) return { status: 400, body: { error: reason } };
      if (reason === 'unknown') return later(503, 'machine types not known yet');
      return { status: 422, body: { error: reason } };
    }
    if (this.submissions.length >= SUBMIT_QUEUE) return later(429, 'too many submissions');
    const result = await this.accept(parsed.value);
    if (result === 'accepted') return { status: 201, body: encodeJobState(id, 'queued') };
    if (result === 'known') {
      const stored = await this.check(id, POLL_LIMIT_MS);
      if (stored && stored !== 'unsure') {
        return { status: 200, body: encodeJobState(id, stored.state) };
      }
    }
    if (result === 'invalid') return { status: 422, body: { error: TOO_LARGE } };
    return later(503, 'not committed in time');
  }

  private recordBytes(spec: JobSpec): number {
    const value: JobRecord = { spec, at: this.clock.wall() };
    return bytesOf(value);
  }

  private accept(spec: JobSpec): Promise<Accepted> {
    return new Promise((resolve) => {
      const cancel = this.clock.after(SUBMIT_LIMIT_MS, () => this.settle(submission, 'unsure'));
      const submission: Submission = { spec, resolve, settled: false, cancel };
      this.submissions.push(submission);
      if (this.committing === 0) {
        this.committing++;
        this.clock.after(GROUP_COMMIT_MS, () => void this.commitGroups());
      }
    });
  }

  private settle(submission: Submission, result: Accepted): void {
    if (submission.settled) return;
    submission.settled = true;
    submission.cancel();
    submission.resolve(result);
  }

  private async commitGroups(): Promise<void> {
    try {
      while (this.submissions.length > 0) await this.commitGroup();
    } catch (error) {
      this.log.warn({ error: String(error) }, 'submissions not committed');
    } finally {
      this.committing--;
    }
  }

  private async commitGroup(): Promise<void> {
    const group: Submission[] = [];
    let bytes = 0;
    const ids = new Set<string>();
    while (group.length < this.txnOps && this.submissions.length > 0) {
      const next = this.submissions[0];
      if (!next || ids.has(next.spec.id)) break;
      bytes += this.recordBytes(next.spec) + SUBMIT_BYTES;
      if (group.length > 0 && bytes > TXN_BYTES) break;
      this.submissions.shift();
      if (next.settled) continue;
      ids.add(next.spec.id);
      group.push(next);
    }
    await this.commitJobs(group);
  }

  private async commitJobs(group: Submission[]): Promise<void> {
    while (group.length > 0) {
      const guards: Guard[] = [];
      const changes: Change[] = [];
      for (const { spec } of group) {
        const value: JobRecord = { spec, at: this.clock.wall() };
        guards.push({ key: jobKey(spec.id), revision: 0 }, { key: finalKey(spec.id), revision: 0 });
        changes.push({ key: jobKey(spec.id), value });
      }
      const waiting = group;
      const result = await this.committer.commit('submit', guards, changes, () =>
        waiting.some((one) => !one.settled),
      );
      if (result.kind === 'done') {
        for (const one of group) this.settle(one, 'accepted');
        this.committed(group.map((one) => one.spec.id));
        return;
      }
      if (result.kind === 'invalid') {
        // One job must not take the others down: each is tried on its own, and then told.
        if (group.length > 1) for (const one of group) await this.commitJobs([one]);
        else for (const one of group) this.settle(one, result.unsure ? 'unsure' : 'invalid');
        return;
      }
      if (result.kind !== 'conflict') {
        for (const one of group) this.settle(one, 'unsure');
        return;
      }
      const failed = new Set(result.failed);
      const isKnown = ({ spec }: Submission): boolean =>
        failed.has(jobKey(spec.id)) || failed.has(finalKey(spec.id));
      const known = group.filter(isKnown);
      for (const one of known) this.settle(one, 'known');
      group = group.filter((one) => !isKnown(one) && !one.settled);
      if (known.length === 0) {
        // Refused for no reason that these jobs give.
        for (const one of group) this.settle(one, 'unsure');
        return;
      }
    }
  }

  // --- Polls ---------------------------------------------------------------------------------

  async poll(id: string): Promise<HttpReply> {
    if (!isJobId(id)) return { status: 404, body: { error: 'no such job' } };
    if (!this.replica.loaded) return later(503, 'starting');
    const known = await this.newest(id);
    if (known === 'unsure') return later(503, 'state service does not answer');
    if (!known) return { status: 404, body: { error: 'no such job' } };
    return { status: 200, body: encodeJobView(id, known.state, known.done, known.running) };
  }

  /**
   * A job as the state service holds it now. What the replica shows of an open job after a watch that
   * was sent later than the question came is as good as an answer to the question itself, and costs
   * no request; where changes are seldom, or the job is not in the replica, the service is asked.
   */
  private async newest(id: string): Promise<Known | 'unsure'> {
    const before = this.replica.final(id);
    if (before) return this.describeFinal(before);
    if (this.replica.job(id) && (await this.watched())) {
      const final = this.replica.final(id);
      if (final) return this.describeFinal(final);
      if (this.replica.job(id)) return this.describeLive(id);
    }
    return this.check(id, POLL_LIMIT_MS - WATCHED_MS);
  }

  /** True once a watch that is sent from now on is answered; false: not soon. */
  private watched(): Promise<boolean> {
    return new Promise((resolve) => {
      const one = { from: this.clock.now(), resolve, cancel: (): void => undefined };
      one.cancel = this.clock.after(WATCHED_MS, () => {
        this.watching.delete(one);
        resolve(false);
      });
      this.watching.add(one);
    });
  }

  private fresh(sentAt: number): void {
    for (const one of this.watching) {
      if (one.from > sentAt) continue;
      this.watching.delete(one);
      one.cancel();
      one.resolve(true);
    }
  }

  private describeFinal(record: FinalRecord): NonNullable<Known> {
    const done = record.state === 'done' ? record.tasks : 0;
    return { state: record.state, done, running: 0, final: true };
  }

  private describeLive(id: string): NonNullable<Known> {
    let done = 0;
    let running = 0;
    for (const chunk of this.replica.chunksOf(id)) {
      done += chunk.done;
      running += chunk.liveCount;
    }
    return { state: running > 0 ? 'running' : 'queued', done, running, final: false };
  }

  /** What is known of a job that this node has heard of; null: it has not. */
  private whatIsKnown(id: string): Promise<Known | 'unsure'> {
    const final = this.replica.final(id);
    if (final) return Promise.resolve(this.describeFinal(final));
    if (!this.replica.get(jobKey(id))) return Promise.resolve(null);
    return this.check(id, POLL_LIMIT_MS);
  }

  /** What the state service holds now: many jobs share one comparing transaction. */
  private check(id: string, limitMs: number): Promise<Known | 'unsure'> {
    if (this.checks.length >= CHECK_QUEUE) return Promise.resolve('unsure');
    return new Promise((resolve) => {
      const cancel = this.clock.after(limitMs, () => this.answer(check, 'unsure'));
      const jobRevision = this.replica.revisionOf(jobKey(id));
      const check: Check = { id, jobRevision, resolve, settled: false, cancel };
      this.checks.push(check);
      if (!this.checking) {
        this.checking = true;
        const since = this.clock.now() - this.checkedAt;
        const wait = Math.max(GROUP_COMMIT_MS, this.checkMs - since);
        this.clock.after(wait, () => void this.runChecks());
      }
    });
  }

  private answer(check: Check, known: Known | 'unsure'): void {
    if (check.settled) return;
    check.settled = true;
    check.cancel();
    check.resolve(known);
  }

  private async runChecks(): Promise<void> {
    const perTxn = Math.max(1, Math.floor((this.txnOps * GUARDS_PER_OP) / 2));
    while (this.checks.length > 0) {
      const group = this.checks.splice(0, perTxn).filter((check) => !check.settled);
      if (group.length === 0) continue;
      this.checkedAt = this.clock.now();
      try {
        await this.checkGroup(group);
      } catch (error) {
        this.log.debug({ error: String(error) }, 'checks failed');
        for (const check of group) this.answer(check, 'unsure');
      }
    }
    this.checking = false;
  }

  private async checkGroup(group: Check[]): Promise<void> {
    const guards = new Map<string, Guard>();
    for (const { id, jobRevision } of group) {
      guards.set(jobKey(id), { key: jobKey(id), revision: jobRevision });
      guards.set(finalKey(id), { key: finalKey(id), revision: 0 });
    }
    await this.limiter.pass('check', 0);
    const result = await this.api.txn([...guards.values()], []);
    const failed = new Set(result.ok ? [] : result.failed);
    for (const check of group) {
      const { id } = check;
      if (!failed.has(jobKey(id)) && !failed.has(finalKey(id))) {
        // As the replica had it when the check was made: there, or nowhere at all.
        this.answer(check, check.jobRevision === 0 ? null : this.describeLive(id));
        continue;
      }
      // The job's record goes in the change that makes its final state: the order matters.
      await this.limiter.pass('check', 0);
      const live = await this.api.get(jobKey(id));
      if (live) {
        this.replica.applyOwn([{ key: jobKey(id), value: live.value, revision: live.revision }]);
        this.answer(check, this.describeLive(id));
        continue;
      }
      await this.limiter.pass('check', 0);
      const final = await this.api.get(finalKey(id));
      if (final) this.replica.keepFinal(id, final.value as FinalRecord);
      this.answer(check, final ? this.describeFinal(final.value as FinalRecord) : null);
    }
  }

  // --- Cancelling ----------------------------------------------------------------------------

  async cancel(id: string): Promise<HttpReply> {
    if (!isJobId(id)) return { status: 404, body: { error: 'no such job' } };
    if (!this.replica.loaded) return later(503, 'starting');
    const deadline = this.clock.now() + SUBMIT_LIMIT_MS;
    while (this.clock.now() < deadline) {
      const final = this.replica.final(id);
      if (final) return { status: 200, body: encodeJobState(id, final.state) };
      const held = this.replica.get<JobRecord>(jobKey(id));
      if (!held) {
        const known = await this.check(id, POLL_LIMIT_MS);
        if (known === 'unsure') break;
        if (!known) return { status: 404, body: { error: 'no such job' } };
        if (known.final) return { status: 200, body: encodeJobState(id, known.state) };
        continue;
      }
      const value: FinalRecord = { state: 'cancelled', tasks: held.value.spec.tasks };
      const result = await this.committer.commit(
        'check',
        [
          { key: jobKey(id), revision: held.revision },
          { key: finalKey(id), revision: 0 },
        ],
        [
          { key: jobKey(id), remove: true },
          { key: finalKey(id), value },
        ],
        () => this.clock.now() < deadline,
      );
      if (result.kind === 'done') {
        this.committed([id], { tasks: value.tasks });
        return { status: 200, body: encodeJobState(id, 'cancelled') };
      }
      if (result.kind === 'givenUp' || result.kind === 'invalid') break;
      const known = await this.check(id, POLL_LIMIT_MS);
      if (known !== 'unsure' && known?.final) {
        return { status: 200, body: encodeJobState(id, known.state) };
      }
      if (known === null) return { status: 404, body: { error: 'no such job' } };
    }
    return later(503, 'not committed in time');
  }
}
