/** Simulates how the tasks of a gang act together: common start, lost peers, saving and end. */
import type { SimTask } from './jobs.js';
import type { SimWorker } from './worker.js';
import type { SimulationHost } from './simulation-host.js';

/** s for which a task waits for the other tasks of its attempt before it exits. */
export const GANG_WAIT_S = 35;
/**
 * s within which the tasks of a running gang exit after a peer was lost, or after only some of them
 * were told to stop.
 */
export const GANG_PEER_S = 8;
/** ms between two steps of the simulated gangs. */
const TICK_MS = 250;

/** A task of a gang that runs. */
interface Member {
  worker: SimWorker;
  name: string;
  task: SimTask;
  /** ms after which the task notices a lost peer; differs by task and is below `GANG_PEER_S`. */
  noticesLossAfterMs: number;
}

/** An attempt of a gang whose tasks have all started, until its last task has ended. */
interface GangRun {
  job: string;
  attempt: number;
  members: Member[];
  progressMs: number;
  /** Simulated time in ms since which a peer is lost or hangs; null: all peers respond. */
  peerLostAt: number | null;
  /** True once a task has ended or has gone with its machine: the remaining tasks can only exit. */
  hasLostTask: boolean;
  /** Simulated time in ms of the first stop command for which a task saves; null: none so far. */
  stopRequestedAt: number | null;
}

const jobOf = (name: string): string => name.split('/')[0] ?? '';

/** The gangs of a simulated cluster. Their tasks start, notice lost peers, save and end together. */
export class SimGangs {
  /** ms of progress that each job has saved, from which its next attempt resumes. */
  readonly savedProgressMs = new Map<string, number>();
  private waiting: { worker: SimWorker; name: string; task: SimTask; since: number }[] = [];
  private runs: GangRun[] = [];
  private isTicking = false;

  constructor(private readonly world: SimulationHost) {}

  /** Makes a task that has its image wait for the others of its attempt. */
  gather(worker: SimWorker, name: string, task: SimTask): void {
    this.waiting.push({ worker, name, task, since: this.world.clock.now() });
    this.startIfComplete(jobOf(name), task.attempt);
    if (!this.isTicking) {
      this.isTicking = true;
      this.world.clock.after(TICK_MS, () => this.tick());
    }
  }

  /**
   * Stops one task. A task of a running gang saves its progress first if the job has checkpoints and
   * the grace suffices; any other task exits at once.
   */
  halt(worker: SimWorker, name: string, task: SimTask, graceS: number): void {
    const job = this.world.jobs.get(jobOf(name));
    const run = this.runs.find((one) => one.members.some((member) => member.task === task));
    const hasTimeToSave = (job?.checkpointS ?? 0) > 0 && graceS > 0 && graceS >= (job?.saveS ?? 0);
    if (!job || !run || !hasTimeToSave) {
      worker.exit(task, 'stopped');
      return;
    }
    task.savedAt ??= this.world.clock.now() + job.saveS * 1000;
    run.stopRequestedAt ??= this.world.clock.now();
  }

  private tick(): void {
    const now = this.world.clock.now();
    this.waiting = this.waiting.filter(
      ({ worker, name, task }) =>
        isStillOnMachine(worker, name, task) && task.state === 'gathering',
    );
    for (const { worker, task, since } of this.waiting) {
      if (worker.hungMs === 0 && now - since >= GANG_WAIT_S * 1000) worker.exit(task, 'alone');
    }
    // A machine that hung when the last task of its gang arrived can join now.
    for (const { name, task } of this.waiting) this.startIfComplete(jobOf(name), task.attempt);
    this.runs = this.runs.filter((run) => this.advance(run, now));
    this.isTicking = this.runs.length > 0 || this.waiting.length > 0;
    if (this.isTicking) this.world.clock.after(TICK_MS, () => this.tick());
  }

  /** Starts an attempt if all its tasks wait on machines that do not hang. */
  private startIfComplete(id: string, attempt: number): void {
    const job = this.world.jobs.get(id);
    if (!job) return;
    const members: Member[] = [];
    for (const worker of this.world.workers.values()) {
      if (worker.isDead || worker.hungMs > 0) continue;
      for (const [name, task] of worker.tasks) {
        if (jobOf(name) !== id || task.attempt !== attempt || task.state !== 'gathering') continue;
        members.push({
          worker,
          name,
          task,
          noticesLossAfterMs: 2000 + this.world.randomBelow(5500),
        });
      }
    }
    if (new Set(members.map((member) => member.name)).size < job.tasks) return;
    for (const { worker, task } of members) worker.markRunning(task);
    const progressMs = this.savedProgressMs.get(id) ?? 0;
    this.runs.push({
      ...{ job: id, attempt, members, progressMs },
      ...{ peerLostAt: null, hasLostTask: false, stopRequestedAt: null },
    });
    this.world.recordGangStart(id, attempt);
  }

  /** Advances a run by one step; returns false once all its tasks have ended. */
  private advance(run: GangRun, now: number): boolean {
    const job = this.world.jobs.get(run.job);
    const live = run.members.filter(
      ({ worker, name, task }) => isStillOnMachine(worker, name, task) && task.state === 'running',
    );
    if (!job || live.length === 0) return false;
    if (live.length < run.members.length) run.hasLostTask = true;
    const isPeerLost = run.hasLostTask || live.some(({ worker }) => worker.hungMs > 0);
    run.peerLostAt = isPeerLost ? (run.peerLostAt ?? now - TICK_MS) : null;
    if (!isPeerLost && run.stopRequestedAt === null) {
      run.progressMs += TICK_MS;
      const checkpointMs = job.checkpointS * 1000;
      const checkpoint =
        checkpointMs > 0 ? Math.floor(run.progressMs / checkpointMs) * checkpointMs : 0;
      this.savedProgressMs.set(
        run.job,
        Math.max(this.savedProgressMs.get(run.job) ?? 0, checkpoint),
      );
      if (run.progressMs >= job.runS * 1000) {
        for (const { worker, task, name } of live) {
          worker.exit(task, 'done');
          this.world.completedTasks.add(name);
        }
        return false;
      }
    }
    if (
      !isPeerLost &&
      live.every(({ task }) => task.savedAt !== undefined && task.savedAt <= now)
    ) {
      this.savedProgressMs.set(run.job, run.progressMs);
      for (const { worker, task } of live) {
        task.isProgressSaved = true;
        worker.exit(task, 'stopped');
      }
      return false;
    }
    const isStopOverdue =
      run.stopRequestedAt !== null &&
      now - run.stopRequestedAt >= GANG_PEER_S * 1000 &&
      live.some(({ task }) => task.savedAt === undefined);
    for (const { worker, task, noticesLossAfterMs } of live) {
      if (worker.hungMs > 0) continue;
      if (!isStopOverdue && (run.peerLostAt === null || now - run.peerLostAt < noticesLossAfterMs))
        continue;
      worker.exit(task, task.savedAt === undefined ? 'mates_gone' : 'stopped');
      run.hasLostTask = true;
    }
    return true;
  }
}

function isStillOnMachine(worker: SimWorker, name: string, task: SimTask): boolean {
  return !worker.isDead && worker.tasks.get(name) === task;
}
