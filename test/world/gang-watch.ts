import type { SimWorker, Task } from './worker.js';
import type { World } from './world.js';

const LOOK_MS = 50;

/** A stop command that reached a gang task which had not ended. */
export interface Halt {
  job: string;
  task: string;
  attempt: number;
  machine: string;
  graceS: number;
  at: number;
  /** The job's user had been told that it is cancelled. */
  cancelled: boolean;
}

/** The end of a task on a machine. */
export interface End {
  job: string;
  task: string;
  attempt: number;
  machine: string;
  cause: string;
  stored: boolean;
  at: number;
}

const jobOf = (task: string): string => task.split('/')[0] ?? '';

/** Records what happens to gang tasks on their machines, and checks what must hold at any time. */
export class GangWatch {
  readonly halts: Halt[] = [];
  readonly ends: End[] = [];
  /** Jobs with tasks of two attempts on machines at the same time. */
  readonly mixed = new Set<string>();
  /** Called before a stop command reaches its task. */
  onHalt: (halt: Halt) => void = () => undefined;
  private readonly known = new Set<SimWorker>();

  constructor(private readonly world: World) {
    this.watchHalts();
    const look = (): void => {
      this.look();
      world.clock.after(LOOK_MS, look);
    };
    look();
  }

  private watchHalts(): void {
    const { gangs } = this.world;
    const pass = gangs.halt.bind(gangs);
    gangs.halt = (worker, task, held, graceS) => {
      const job = jobOf(task);
      const halt: Halt = {
        job,
        task,
        attempt: held.attempt,
        machine: worker.machine.name,
        graceS,
        at: this.world.clock.now(),
        cancelled: (this.world.jobs.get(job)?.cancelledAt ?? null) !== null,
      };
      this.halts.push(halt);
      this.onHalt(halt);
      pass(worker, task, held, graceS);
    };
  }

  private look(): void {
    const attempts = new Map<string, number>();
    for (const worker of this.world.workers.values()) {
      if (!this.known.has(worker)) this.watchEnds(worker);
      for (const [task, held] of worker.onMachine()) {
        const job = jobOf(task);
        if (!this.world.jobs.get(job)?.gang) continue;
        const other = attempts.get(job);
        if (other !== undefined && other !== held.attempt) this.mixed.add(job);
        attempts.set(job, held.attempt);
      }
    }
  }

  private watchEnds(worker: SimWorker): void {
    this.known.add(worker);
    const pass = worker.end.bind(worker);
    worker.end = (held: Task, cause: string) => {
      pass(held, cause);
      const [task] = [...worker.tasks].find(([, one]) => one === held) ?? [];
      if (task === undefined) return;
      this.ends.push({
        job: jobOf(task),
        task,
        attempt: held.attempt,
        machine: worker.machine.name,
        cause,
        stored: held.stored === true,
        at: this.world.clock.now(),
      });
    };
  }

  /** Ends of the tasks of one attempt. */
  endsOf(job: string, attempt: number): End[] {
    return this.ends.filter((one) => one.job === job && one.attempt === attempt);
  }

  /** Stop commands without the time to save, though the gang could save and is not cancelled. */
  tooShort(): Halt[] {
    return this.halts.filter(({ job, graceS, cancelled }) => {
      const spec = this.world.jobs.get(job);
      return spec !== undefined && spec.checkpointS > 0 && !cancelled && graceS < spec.saveS;
    });
  }

  /** Seconds between the first stop command of an attempt and the last task's first one. */
  toldWithinS(job: string, attempt: number): number {
    const first = new Map<string, number>();
    for (const halt of this.halts) {
      if (halt.job !== job || halt.attempt !== attempt || first.has(halt.task)) continue;
      first.set(halt.task, halt.at);
    }
    const times = [...first.values()];
    return (Math.max(...times) - Math.min(...times)) / 1000;
  }
}
