/** Finds jobs that wait although a machine has capacity for them and their team has quota left. */
import type { SimJob } from './jobs.js';
import type { InvariantChecker } from './invariant-checker.js';
import { TEAMS, TYPES } from './settings.js';
import type { SimWorker } from './worker.js';
import type { SimulationHost } from './simulation-host.js';

/** ms for which a job may wait while a machine has capacity for it. */
const WAIT_MS = 90_000;

/** Resources in use: the number of tasks by job, and the CPUs by team. */
interface ResourcesInUse {
  tasks: ReadonlyMap<string, number>;
  cpus: ReadonlyMap<string, number>;
}

/** Finds jobs that wait needlessly once all faults are over. */
export class WaitingJobs {
  private areFaultsOver = false;
  /** Time in ms since which a job has waited needlessly, by job. */
  private readonly waitingSince = new Map<string, number>();

  constructor(
    private readonly world: SimulationHost,
    private readonly invariants: Pick<InvariantChecker, 'accepted' | 'answeredEnds'>,
  ) {}

  /** Starts the check; before, jobs may wait for any time. */
  startChecks(): void {
    this.areFaultsOver = true;
  }

  /** Returns a violation for each job that has waited for too long. */
  check(): string[] {
    if (!this.areFaultsOver) return [];
    const now = this.world.clock.now();
    const inUse = this.resourcesInUse();
    const violations: string[] = [];
    for (const id of this.invariants.accepted) {
      const job = this.world.jobs.get(id);
      if (!job || !this.waitsNeedlessly(id, job, inUse)) {
        this.waitingSince.delete(id);
        continue;
      }
      const since = this.waitingSince.get(id) ?? now;
      this.waitingSince.set(id, since);
      if (now - since < WAIT_MS) continue;
      this.waitingSince.set(id, now);
      violations.push(`forgotten ${id}: waits for 90 s while a machine is free`);
    }
    return violations;
  }

  private resourcesInUse(): ResourcesInUse {
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

  /** True if no task of the job runs or has completed, although a task could run at once. */
  private waitsNeedlessly(id: string, job: SimJob, inUse: ResourcesInUse): boolean {
    if (job.cancelledAt !== null || this.invariants.answeredEnds.has(id) || job.broken)
      return false;
    if ((inUse.tasks.get(id) ?? 0) > 0 || this.hasDoneTask(id, job)) return false;
    const cpuQuota = TEAMS.find((team) => team.name === job.team)?.cpusMax ?? 0;
    const neededCpus = job.cpus * (job.gang ? job.tasks : 1);
    if ((inUse.cpus.get(job.team) ?? 0) + neededCpus > cpuQuota) return false;
    return [...this.world.workers.values()].some((worker) => hasCapacity(worker, job));
  }

  private hasDoneTask(id: string, job: SimJob): boolean {
    for (let index = 0; index < job.tasks; index++) {
      if (this.world.completedTasks.has(`${id}/${index}`)) return true;
    }
    return false;
  }
}

function hasCapacity(worker: SimWorker, job: SimJob): boolean {
  const { machine } = worker;
  if (worker.isDead || (machine.spot && !job.spot)) return false;
  if (job.zone !== null && job.zone !== machine.zone) return false;
  if (job.types !== null && !job.types.includes(machine.type)) return false;
  let usedCpus = 0;
  for (const task of worker.tasks.values()) if (task.state !== 'exited') usedCpus += task.cpus;
  const type = TYPES.find((one) => one.name === machine.type);
  return usedCpus + job.cpus <= (type?.cpus ?? 0);
}
