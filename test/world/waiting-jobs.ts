/** Finds jobs that wait though a machine has capacity for them and their team is under its quota. */
import type { SimJob } from './jobs.js';
import type { InvariantChecker } from './invariant-checker.js';
import { TEAMS, TYPES } from './settings.js';
import type { SimWorker } from './worker.js';
import type { SimulationHost } from './simulation-host.js';

/** ms for which a job may wait in front of free machines. */
const WAIT_MS = 90_000;

/** What tasks take: by job the number of them, by team the CPUs. */
interface Running {
  tasks: ReadonlyMap<string, number>;
  cpus: ReadonlyMap<string, number>;
}

/** The jobs that wait without need once all faults are over. */
export class WaitingJobs {
  private isWatching = false;
  /** Since when each job waits in front of free machines. */
  private readonly since = new Map<string, number>();

  constructor(
    private readonly world: SimulationHost,
    private readonly invariants: Pick<InvariantChecker, 'accepted' | 'told'>,
  ) {}

  /** From now on no job may wait without need. */
  faultsOver(): void {
    this.isWatching = true;
  }

  /** The jobs that have waited for too long by now. */
  check(): string[] {
    if (!this.isWatching) return [];
    const now = this.world.clock.now();
    const running = this.running();
    const breaches: string[] = [];
    for (const id of this.invariants.accepted) {
      const job = this.world.jobs.get(id);
      if (!job || !this.waits(id, job, running)) {
        this.since.delete(id);
        continue;
      }
      const since = this.since.get(id) ?? now;
      this.since.set(id, since);
      if (now - since < WAIT_MS) continue;
      this.since.set(id, now);
      breaches.push(`forgotten ${id}: waits for 90 s while a machine is free`);
    }
    return breaches;
  }

  private running(): Running {
    const tasks = new Map<string, number>();
    const cpus = new Map<string, number>();
    for (const worker of this.world.workers.values()) {
      for (const [name, task] of worker.tasks) {
        if (task.state === 'exited') continue;
        const id = name.split('/')[0] ?? '';
        const team = this.world.jobs.get(id)?.team ?? '';
        tasks.set(id, (tasks.get(id) ?? 0) + 1);
        cpus.set(team, (cpus.get(team) ?? 0) + task.cpus);
      }
    }
    return { tasks, cpus };
  }

  /** Nothing of the job runs or is done, and a task of it could run at once. */
  private waits(id: string, job: SimJob, running: Running): boolean {
    if (job.cancelledAt !== null || this.invariants.told.has(id) || job.broken) return false;
    if ((running.tasks.get(id) ?? 0) > 0 || this.isBegun(id, job)) return false;
    const most = TEAMS.find((team) => team.name === job.team)?.cpusMax ?? 0;
    const needed = job.cpus * (job.gang ? job.tasks : 1);
    if ((running.cpus.get(job.team) ?? 0) + needed > most) return false;
    return [...this.world.workers.values()].some((worker) => hasCapacity(worker, job));
  }

  private isBegun(id: string, job: SimJob): boolean {
    for (let index = 0; index < job.tasks; index++) {
      if (this.world.completed.has(`${id}/${index}`)) return true;
    }
    return false;
  }
}

function hasCapacity(worker: SimWorker, job: SimJob): boolean {
  const { machine } = worker;
  if (worker.dead || (machine.spot && !job.spot)) return false;
  if (job.zone !== null && job.zone !== machine.zone) return false;
  if (job.types !== null && !job.types.includes(machine.type)) return false;
  let used = 0;
  for (const task of worker.tasks.values()) if (task.state !== 'exited') used += task.cpus;
  const type = TYPES.find((one) => one.name === machine.type);
  return used + job.cpus <= (type?.cpus ?? 0);
}
