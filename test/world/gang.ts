import type { SimTask } from './jobs.js';
import type { SimWorker } from './worker.js';
import type { SimulationHost } from './simulation-host.js';

export const GANG_WAIT_S = 35;
export const GANG_PEER_S = 8;
const TICK_MS = 250;

interface Member {
  worker: SimWorker;
  name: string;
  task: SimTask;
  /** It notices a lost peer so long after: each one at its own moment, all within the limit. */
  noticesLossAfterMs: number;
}

/** A gang whose tasks all run, or ran until one was lost or told to stop. */
interface GangRun {
  job: string;
  attempt: number;
  members: Member[];
  progressMs: number;
  peerLostAt: number | null;
  /** A task has gone for good: what is left can only exit. */
  hasLostTask: boolean;
  stopRequestedAt: number | null;
}

const jobOf = (name: string): string => name.split('/')[0] ?? '';

/** What the tasks of gangs do among themselves: gather, run, lose a peer, save and end together. */
export class SimGangs {
  /** Progress of each job that outlives its attempt, in ms. */
  readonly savedProgressMs = new Map<string, number>();
  private waiting: { worker: SimWorker; name: string; task: SimTask; since: number }[] = [];
  private runs: GangRun[] = [];
  private isTicking = false;

  constructor(private readonly world: SimulationHost) {}

  /** A task has its image and waits for the others of its attempt. */
  gather(worker: SimWorker, name: string, task: SimTask): void {
    this.waiting.push({ worker, name, task, since: this.world.clock.now() });
    this.startIfComplete(jobOf(name), task.attempt);
    if (!this.isTicking) {
      this.isTicking = true;
      this.world.clock.after(TICK_MS, () => this.tick());
    }
  }

  /** A command to stop one task, whatever state it is in. */
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
    // What hung while the last peer came joins now.
    for (const { name, task } of this.waiting) this.startIfComplete(jobOf(name), task.attempt);
    this.runs = this.runs.filter((run) => this.advance(run, now));
    this.isTicking = this.runs.length > 0 || this.waiting.length > 0;
    if (this.isTicking) this.world.clock.after(TICK_MS, () => this.tick());
  }

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
    this.world.gangStarted(id, attempt);
  }

  /** False once the run is over for all its tasks. */
  private advance(run: GangRun, now: number): boolean {
    const job = this.world.jobs.get(run.job);
    const live = run.members.filter(
      ({ worker, name, task }) => isStillOnMachine(worker, name, task) && task.state === 'running',
    );
    if (!job || live.length === 0) return false;
    if (live.length < run.members.length) run.hasLostTask = true;
    const lost = run.hasLostTask || live.some(({ worker }) => worker.hungMs > 0);
    run.peerLostAt = lost ? (run.peerLostAt ?? now - TICK_MS) : null;
    if (!lost && run.stopRequestedAt === null) {
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
          this.world.completed.add(name);
        }
        return false;
      }
    }
    if (!lost && live.every(({ task }) => task.savedAt !== undefined && task.savedAt <= now)) {
      this.savedProgressMs.set(run.job, run.progressMs);
      for (const { worker, task } of live) {
        task.stored = true;
        worker.exit(task, 'stopped');
      }
      return false;
    }
    const late =
      run.stopRequestedAt !== null &&
      now - run.stopRequestedAt >= GANG_PEER_S * 1000 &&
      live.some(({ task }) => task.savedAt === undefined);
    for (const { worker, task, noticesLossAfterMs } of live) {
      if (worker.hungMs > 0) continue;
      if (!late && (run.peerLostAt === null || now - run.peerLostAt < noticesLossAfterMs)) continue;
      worker.exit(task, task.savedAt === undefined ? 'mates_gone' : 'stopped');
      run.hasLostTask = true;
    }
    return true;
  }
}

function isStillOnMachine(worker: SimWorker, name: string, task: SimTask): boolean {
  return !worker.isDead && worker.tasks.get(name) === task;
}
