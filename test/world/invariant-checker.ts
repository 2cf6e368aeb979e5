/** The invariant checker of the simulated cluster: records each violation of an invariant. */
import { stageOf, type Reply, type SimJob } from './jobs.js';
import { PollOutcomes } from './poll-outcomes.js';
import { TEAMS } from './settings.js';
import { WaitingJobs } from './waiting-jobs.js';
import type { SimWorker } from './worker.js';
import type { SimulationHost } from './simulation-host.js';

/** Kinds of users' requests. */
export type RequestKind = 'submit' | 'cancel' | 'poll';

const isEnd = (stage: string): boolean => stage === 'done' || stage === 'withdrawn';

/** Checks the replies of controllers to users, and which tasks run on which machines. */
export class InvariantChecker {
  /** The violations so far: the invariant's name, and the job, task or team that violated it. */
  readonly violations: string[] = [];
  /** Tasks that started after a confirmed cancellation; a violation only after more than 50 s. */
  readonly startsAfterCancel: string[] = [];
  /** Jobs whose submission a controller accepted. */
  readonly accepted = new Set<string>();
  /** Final states of jobs in replies to users, with the time in ms of the first such reply. */
  readonly answeredEnds = new Map<string, { stage: string; at: number }>();
  /** Jobs whose cancellation a user requested. */
  private readonly cancelRequests = new Set<string>();
  private readonly pollOutcomes = new PollOutcomes();
  private readonly waitingJobs: WaitingJobs;

  constructor(private readonly world: SimulationHost) {
    this.waitingJobs = new WaitingJobs(world, this);
  }

  /** Records that a user requests the cancellation of a job. */
  recordCancelRequest(id: string): void {
    this.cancelRequests.add(id);
  }

  /** Records a request that got no reply because its controller is down; only polls count. */
  recordNoReply(kind: RequestKind, id: string): void {
    this.recordPoll(kind, id, false);
  }

  /** Starts the checks that apply after all faults: polls are answered, no job waits needlessly. */
  startChecksAfterFaults(): void {
    const now = this.world.clock.now();
    this.pollOutcomes.recordEndOfFaults(now);
    this.waitingJobs.startChecks();
  }

  private recordPoll(kind: RequestKind, id: string, isAnswered: boolean): void {
    if (kind !== 'poll' || !this.accepted.has(id)) return;
    this.violations.push(...this.pollOutcomes.record(id, isAnswered, this.world.clock.now()));
  }

  /**
   * Checks tasks on machines and waiting jobs; called every simulated second. All tasks of a job
   * must have ended `cancelS` seconds after its confirmed cancellation.
   */
  check(cancelS: number): void {
    this.checkCancelledTasks(cancelS);
    this.violations.push(...this.waitingJobs.check());
  }

  /**
   * Checks a controller's reply to a user: an accepted job is always found, its final state never
   * changes, and it is `done` only if all its tasks have completed.
   */
  recordReply(kind: RequestKind, id: string, requestedAt: number, reply: Reply): void {
    const now = this.world.clock.now();
    const isAcceptedJob = this.accepted.has(id);
    if (reply.status === 404 && isAcceptedJob) this.violations.push(`forgotten ${id} (${kind})`);
    if (kind === 'submit' && (reply.status === 400 || reply.status === 422) && isAcceptedJob) {
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

  /** Checks that a final state stays, and that a job is `withdrawn` only if a user cancelled it. */
  private checkStage(id: string, stage: string, requestedAt: number): void {
    const previous = this.answeredEnds.get(id);
    if (previous && previous.at <= requestedAt && previous.stage !== stage) {
      this.violations.push(`went_back ${id} ${previous.stage} to ${stage}`);
    }
    if (previous && isEnd(stage) && previous.stage !== stage) {
      this.violations.push(`went_back ${id}: both ${previous.stage} and ${stage}`);
    }
    if (stage === 'withdrawn' && !this.cancelRequests.has(id)) {
      this.violations.push(`went_back ${id} withdrawn, though no user cancelled it`);
    }
  }

  /** Checks that each task of a job that is reported as done has completed. */
  private checkDone(id: string, job: SimJob | undefined): void {
    for (let index = 0; index < (job?.tasks ?? 0); index++) {
      if (!this.world.completedTasks.has(`${id}/${index}`))
        this.violations.push(`not_done ${id}/${index}`);
    }
  }

  /** Checks that no running task of a gang belongs to another attempt. */
  recordGangStart(id: string, attempt: number): void {
    for (const worker of this.world.workers.values()) {
      for (const [name, task] of worker.tasksOnMachine()) {
        if (name.startsWith(`${id}/`) && task.state === 'running' && task.attempt !== attempt) {
          this.violations.push(`two_attempts ${name}: ${task.attempt} and ${attempt}`);
        }
      }
    }
  }

  /** Checks that a task is on one machine only, in an allowed place and within its team's quota. */
  recordTaskStart(worker: SimWorker, task: string): void {
    const [id = ''] = task.split('/');
    const job = this.world.jobs.get(id);
    let usedCpus = 0;
    const zones = new Map<string, number>();
    for (const other of this.world.workers.values()) {
      for (const [name, otherTask] of other.tasksOnMachine()) {
        if (name === task && other !== worker) this.violations.push(`ran_twice ${task}`);
        const otherJob = this.world.jobs.get(name.split('/')[0] ?? '');
        if (otherJob?.team === job?.team) usedCpus += otherTask.cpus;
        if (name.startsWith(`${id}/`) && name !== task) {
          zones.set(other.machine.zone, (zones.get(other.machine.zone) ?? 0) + 1);
        }
      }
    }
    if (!job) return;
    this.checkStartAfterCancel(job, task);
    const teams = this.world.overrides.teams ?? TEAMS;
    const cpuQuota = teams.find((team) => team.name === job.team)?.cpusMax ?? 0;
    if (usedCpus > cpuQuota + 1e-6) this.violations.push(`quota ${job.team} ${usedCpus}`);
    this.checkPlacement(job, worker, task, zones);
  }

  /** A task may start at most 50 s after the confirmed cancellation of its job. */
  private checkStartAfterCancel(job: SimJob, task: string): void {
    if (job.cancelledAt !== null) this.startsAfterCancel.push(task);
    if (job.cancelledAt !== null && this.world.clock.now() - job.cancelledAt > 50_000) {
      this.violations.push(`ran_cancelled ${task} starts`);
    }
  }

  /** Checks zone and spot rules of a job; `zones`: the number of its other tasks, by zone. */
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

  /** Checks that tasks of cancelled jobs are on no machine after `cancelS`. */
  private checkCancelledTasks(cancelS: number): void {
    for (const worker of this.world.workers.values()) {
      for (const [name] of worker.tasksOnMachine()) {
        const cancelledAt = this.world.jobs.get(name.split('/')[0] ?? '')?.cancelledAt ?? null;
        if (cancelledAt !== null && this.world.clock.now() > cancelledAt + cancelS * 1000) {
          this.violations.push(`ran_cancelled ${name}`);
        }
      }
    }
  }
}
