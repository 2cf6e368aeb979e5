/** The invariant checker of the simulated cluster: records each violation of an invariant. */
import { stageOf, type Reply, type SimJob } from './jobs.js';
import { PollOutcomes } from './poll-outcomes.js';
import { TEAMS } from './settings.js';
import { WaitingJobs } from './waiting-jobs.js';
import type { SimWorker } from './worker.js';
import type { SimulationHost } from './simulation-host.js';

/** What users ask of controllers. */
export type RequestKind = 'submit' | 'cancel' | 'poll';

const isEnd = (stage: string): boolean => stage === 'done' || stage === 'withdrawn';

/** Checks what controllers answer users, and what runs where. */
export class InvariantChecker {
  /** Each violation of an invariant, and by what. */
  readonly violations: string[] = [];
  /** Starts after a confirmed cancellation: counted apart, since the rules give some time. */
  readonly startsAfterCancel: string[] = [];
  /** Jobs that a controller called accepted, and the ends that controllers told of jobs, with the time. */
  readonly accepted = new Set<string>();
  readonly answeredEnds = new Map<string, { stage: string; at: number }>();
  /** Jobs whose users asked to cancel them. */
  private readonly cancelRequests = new Set<string>();
  private readonly pollOutcomes = new PollOutcomes();
  private readonly waitingJobs: WaitingJobs;

  constructor(private readonly world: SimulationHost) {
    this.waitingJobs = new WaitingJobs(world, this);
  }

  /** A user asks to cancel a job. */
  recordCancelRequest(id: string): void {
    this.cancelRequests.add(id);
  }

  /** A poll of a job got no answer at all. */
  recordNoReply(kind: RequestKind, id: string): void {
    this.recordPoll(kind, id, false);
  }

  /** All faults are over: from now on each job is answered for, and none waits without need. */
  faultsOver(): void {
    const now = this.world.clock.now();
    this.pollOutcomes.faultsOver(now);
    this.waitingJobs.faultsOver();
  }

  private recordPoll(kind: RequestKind, id: string, isAnswered: boolean): void {
    if (kind !== 'poll' || !this.accepted.has(id)) return;
    this.violations.push(...this.pollOutcomes.record(id, isAnswered, this.world.clock.now()));
  }

  /** Looks at what runs and waits; to be called each second. */
  check(cancelS: number): void {
    this.checkCancelledTasks(cancelS);
    this.violations.push(...this.waitingJobs.check());
  }

  /** What a controller tells a user: ends stay, accepted jobs stay known, `done` means done. */
  recordReply(kind: RequestKind, id: string, requestedAt: number, reply: Reply): void {
    const now = this.world.clock.now();
    const known = this.accepted.has(id);
    if (reply.status === 404 && known) this.violations.push(`forgotten ${id} (${kind})`);
    if (kind === 'submit' && (reply.status === 400 || reply.status === 422) && known) {
      this.violations.push(`forgotten ${id} (submission ${reply.status})`);
    }
    this.recordPoll(kind, id, reply.status === 200);
    if (reply.status !== 200 && reply.status !== 201) return;
    const stage = stageOf(reply);
    const job = this.world.jobs.get(id);
    if (kind === 'submit') this.accepted.add(id);
    else if (!job) this.violations.push(`invented ${id} (${kind})`);
    this.checkStage(id, stage, requestedAt);
    if (stage === 'done') this.checkDone(id, job);
    if (stage === 'withdrawn' && job) job.cancelledAt ??= now;
    if (!this.answeredEnds.has(id) && isEnd(stage)) this.answeredEnds.set(id, { stage, at: now });
  }

  /** An end that was told stays, and only a user's wish withdraws a job. */
  private checkStage(id: string, stage: string, requestedAt: number): void {
    const before = this.answeredEnds.get(id);
    if (before && before.at <= requestedAt && before.stage !== stage) {
      this.violations.push(`went_back ${id} ${before.stage} to ${stage}`);
    }
    if (before && isEnd(stage) && before.stage !== stage) {
      this.violations.push(`went_back ${id}: both ${before.stage} and ${stage}`);
    }
    if (stage === 'withdrawn' && !this.cancelRequests.has(id)) {
      this.violations.push(`went_back ${id} withdrawn, though nobody asked for it`);
    }
  }

  /** A job is done only when each of its tasks is. */
  private checkDone(id: string, job: SimJob | undefined): void {
    for (let index = 0; index < (job?.tasks ?? 0); index++) {
      if (!this.world.completed.has(`${id}/${index}`))
        this.violations.push(`not_done ${id}/${index}`);
    }
  }

  /** All tasks of a gang run: none of them may be of another attempt. */
  gangStarted(id: string, attempt: number): void {
    for (const worker of this.world.workers.values()) {
      for (const [name, task] of worker.onMachine()) {
        if (name.startsWith(`${id}/`) && task.state === 'running' && task.attempt !== attempt) {
          this.violations.push(`two_attempts ${name}: ${task.attempt} and ${attempt}`);
        }
      }
    }
  }

  /** A task got on a machine: it runs once, within its team's limit, and where its job may run. */
  taskStarted(worker: SimWorker, task: string): void {
    const [id = ''] = task.split('/');
    const job = this.world.jobs.get(id);
    let used = 0;
    const zones = new Map<string, number>();
    for (const other of this.world.workers.values()) {
      for (const [name, on] of other.onMachine()) {
        if (name === task && other !== worker) this.violations.push(`ran_twice ${task}`);
        const otherJob = this.world.jobs.get(name.split('/')[0] ?? '');
        if (otherJob?.team === job?.team) used += on.cpus;
        if (name.startsWith(`${id}/`) && name !== task) {
          zones.set(other.machine.zone, (zones.get(other.machine.zone) ?? 0) + 1);
        }
      }
    }
    if (!job) return;
    this.checkStartAfterCancel(job, task);
    const teams = this.world.overrides.teams ?? TEAMS;
    const cpuQuota = teams.find((team) => team.name === job.team)?.cpusMax ?? 0;
    if (used > cpuQuota + 1e-6) this.violations.push(`quota ${job.team} ${used}`);
    this.checkPlacement(job, worker, task, zones);
  }

  private checkStartAfterCancel(job: SimJob, task: string): void {
    if (job.cancelledAt !== null) this.startsAfterCancel.push(task);
    if (job.cancelledAt !== null && this.world.clock.now() - job.cancelledAt > 50_000) {
      this.violations.push(`ran_cancelled ${task} starts`);
    }
  }

  /** `zones`: how many other tasks of the job are in each. */
  private checkPlacement(
    job: SimJob,
    worker: SimWorker,
    task: string,
    zones: ReadonlyMap<string, number>,
  ): void {
    const { zone, spot } = worker.machine;
    if ((spot && !job.spot) || (job.zone !== null && job.zone !== zone)) {
      this.violations.push(`wrong_place ${task}`);
    }
    if (job.oneZone && [...zones.keys()].some((other) => other !== zone)) {
      this.violations.push(`wrong_place ${task} (one zone)`);
    }
    if (job.spread && (zones.get(zone) ?? 0) + 1 > Math.ceil(job.tasks / 2)) {
      this.violations.push(`wrong_place ${task} (spread)`);
    }
  }

  /** Tasks of cancelled jobs that are still on a machine past their time. */
  private checkCancelledTasks(cancelS: number): void {
    for (const worker of this.world.workers.values()) {
      for (const [name] of worker.onMachine()) {
        const at = this.world.jobs.get(name.split('/')[0] ?? '')?.cancelledAt ?? null;
        if (at !== null && this.world.clock.now() > at + cancelS * 1000) {
          this.violations.push(`ran_cancelled ${name}`);
        }
      }
    }
  }
}
