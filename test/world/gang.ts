import type { SimWorker, Task } from './worker.js';
import type { SimulationHost } from './simulation-host.js';

export const GANG_WAIT_S = 35;
export const GANG_PEER_S = 8;
const TICK_MS = 250;

interface Member {
  worker: SimWorker;
  name: string;
  task: Task;
  /** It notices a lost peer so long after: each one at its own moment, all within the limit. */
  noticeMs: number;
}

/** A gang whose tasks all run, or ran until one was lost or told to stop. */
interface Run {
  job: string;
  attempt: number;
  members: Member[];
  progressMs: number;
  lostAt: number | null;
  /** A task has gone for good: what is left can only exit. */
  broken: boolean;
  haltAt: number | null;
}

const jobOf = (name: string): string => name.split('/')[0] ?? '';

/** What the tasks of gangs do among themselves: gather, run, lose a peer, save and end together. */
export class SimGangs {
  /** Progress of each job that outlives its attempt, in ms. */
  readonly saved = new Map<string, number>();
  private waiting: { worker: SimWorker; name: string; task: Task; since: number }[] = [];
  private runs: Run[] = [];
  private ticking = false;

  constructor(private readonly world: SimulationHost) {}

  /** A task has its image and waits for the others of its attempt. */
  gather(worker: SimWorker, name: string, task: Task): void {
    this.waiting.push({ worker, name, task, since: this.world.clock.now() });
    this.join(jobOf(name), task.attempt);
    if (!this.ticking) {
      this.ticking = true;
      this.world.clock.after(TICK_MS, () => this.tick());
    }
  }

  /** A command to stop one task, whatever state it is in. */
  halt(worker: SimWorker, name: string, task: Task, graceS: number): void {
    const job = this.world.jobs.get(jobOf(name));
    const run = this.runs.find((one) => one.members.some((member) => member.task === task));
    const saves = (job?.checkpointS ?? 0) > 0 && graceS > 0 && graceS >= (job?.saveS ?? 0);
    if (!job || !run || !saves) {
      worker.end(task, 'stopped');
      return;
    }
    task.savedAt ??= this.world.clock.now() + job.saveS * 1000;
    run.haltAt ??= this.world.clock.now();
  }

  private tick(): void {
    const now = this.world.clock.now();
    this.waiting = this.waiting.filter(
      ({ worker, name, task }) => inPlace(worker, name, task) && task.state === 'gathering',
    );
    for (const { worker, task, since } of this.waiting) {
      if (worker.hungMs === 0 && now - since >= GANG_WAIT_S * 1000) worker.end(task, 'alone');
    }
    // What hung while the last peer came joins now.
    for (const { name, task } of this.waiting) this.join(jobOf(name), task.attempt);
    this.runs = this.runs.filter((run) => this.step(run, now));
    this.ticking = this.runs.length > 0 || this.waiting.length > 0;
    if (this.ticking) this.world.clock.after(TICK_MS, () => this.tick());
  }

  private join(id: string, attempt: number): void {
    const job = this.world.jobs.get(id);
    if (!job) return;
    const members: Member[] = [];
    for (const worker of this.world.workers.values()) {
      if (worker.dead || worker.hungMs > 0) continue;
      for (const [name, task] of worker.tasks) {
        if (jobOf(name) !== id || task.attempt !== attempt || task.state !== 'gathering') continue;
        members.push({ worker, name, task, noticeMs: 2000 + this.world.chance(5500) });
      }
    }
    if (new Set(members.map((member) => member.name)).size < job.tasks) return;
    for (const { worker, task } of members) worker.runs(task);
    const progressMs = this.saved.get(id) ?? 0;
    this.runs.push({
      ...{ job: id, attempt, members, progressMs },
      ...{ lostAt: null, broken: false, haltAt: null },
    });
    this.world.gangStarted(id, attempt);
  }

  /** False once the run is over for all its tasks. */
  private step(run: Run, now: number): boolean {
    const job = this.world.jobs.get(run.job);
    const live = run.members.filter(
      ({ worker, name, task }) => inPlace(worker, name, task) && task.state === 'running',
    );
    if (!job || live.length === 0) return false;
    if (live.length < run.members.length) run.broken = true;
    const lost = run.broken || live.some(({ worker }) => worker.hungMs > 0);
    run.lostAt = lost ? (run.lostAt ?? now - TICK_MS) : null;
    if (!lost && run.haltAt === null) {
      run.progressMs += TICK_MS;
      const moltMs = job.checkpointS * 1000;
      const checkpoint = moltMs > 0 ? Math.floor(run.progressMs / moltMs) * moltMs : 0;
      this.saved.set(run.job, Math.max(this.saved.get(run.job) ?? 0, checkpoint));
      if (run.progressMs >= job.runS * 1000) {
        for (const { worker, task, name } of live) {
          worker.end(task, 'done');
          this.world.completed.add(name);
        }
        return false;
      }
    }
    if (!lost && live.every(({ task }) => task.savedAt !== undefined && task.savedAt <= now)) {
      this.saved.set(run.job, run.progressMs);
      for (const { worker, task } of live) {
        task.stored = true;
        worker.end(task, 'stopped');
      }
      return false;
    }
    const late =
      run.haltAt !== null &&
      now - run.haltAt >= GANG_PEER_S * 1000 &&
      live.some(({ task }) => task.savedAt === undefined);
    for (const { worker, task, noticeMs } of live) {
      if (worker.hungMs > 0) continue;
      if (!late && (run.lostAt === null || now - run.lostAt < noticeMs)) continue;
      worker.end(task, task.savedAt === undefined ? 'mates_gone' : 'stopped');
      run.broken = true;
    }
    return true;
  }
}

function inPlace(worker: SimWorker, name: string, task: Task): boolean {
  return !worker.dead && worker.tasks.get(name) === task;
}
