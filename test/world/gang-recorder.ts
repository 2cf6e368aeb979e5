import type { SimTask } from './jobs.js';
import type { SimWorker } from './worker.js';
import type { World } from './world.js';

const INSPECT_EVERY_MS = 50;

/** A stop command that reached a gang task which had not ended. */
export interface StopCommand {
  job: string;
  task: string;
  attempt: number;
  machine: string;
  graceS: number;
  at: number;
  /** The job's user had been told that it is cancelled. */
  isCancelled: boolean;
}

/** The end of a task on a machine. */
export interface TaskEnd {
  job: string;
  task: string;
  attempt: number;
  machine: string;
  cause: string;
  isProgressSaved: boolean;
  at: number;
}

const jobOf = (task: string): string => task.split('/')[0] ?? '';

/** Records what happens to gang tasks on their machines, and checks what must hold at any time. */
export class GangRecorder {
  readonly stopCommands: StopCommand[] = [];
  readonly ends: TaskEnd[] = [];
  /** Jobs with tasks of two attempts on machines at the same time. */
  readonly jobsWithTwoAttempts = new Set<string>();
  /** Called before a stop command reaches its task. */
  onStopCommand: (command: StopCommand) => void = () => undefined;
  private readonly recordedWorkers = new Set<SimWorker>();

  constructor(private readonly world: World) {
    this.recordStopCommands();
    const inspect = (): void => {
      this.inspect();
      world.clock.after(INSPECT_EVERY_MS, inspect);
    };
    inspect();
  }

  private recordStopCommands(): void {
    const { gangs } = this.world;
    const original = gangs.halt.bind(gangs);
    gangs.halt = (worker, task, held, graceS) => {
      const job = jobOf(task);
      const command: StopCommand = {
        job,
        task,
        attempt: held.attempt,
        machine: worker.machine.name,
        graceS,
        at: this.world.clock.now(),
        isCancelled: (this.world.jobs.get(job)?.cancelledAt ?? null) !== null,
      };
      this.stopCommands.push(command);
      this.onStopCommand(command);
      original(worker, task, held, graceS);
    };
  }

  private inspect(): void {
    const attempts = new Map<string, number>();
    for (const worker of this.world.workers.values()) {
      if (!this.recordedWorkers.has(worker)) this.recordEnds(worker);
      for (const [task, held] of worker.onMachine()) {
        const job = jobOf(task);
        if (!this.world.jobs.get(job)?.gang) continue;
        const other = attempts.get(job);
        if (other !== undefined && other !== held.attempt) this.jobsWithTwoAttempts.add(job);
        attempts.set(job, held.attempt);
      }
    }
  }

  private recordEnds(worker: SimWorker): void {
    this.recordedWorkers.add(worker);
    const original = worker.exit.bind(worker);
    worker.exit = (held: SimTask, cause: string) => {
      original(held, cause);
      const [task] = [...worker.tasks].find(([, one]) => one === held) ?? [];
      if (task === undefined) return;
      this.ends.push({
        job: jobOf(task),
        task,
        attempt: held.attempt,
        machine: worker.machine.name,
        cause,
        isProgressSaved: held.stored === true,
        at: this.world.clock.now(),
      });
    };
  }

  /** Ends of the tasks of one attempt. */
  endsOf(job: string, attempt: number): TaskEnd[] {
    return this.ends.filter((one) => one.job === job && one.attempt === attempt);
  }

  /** Stop commands without the time to save, though the gang could save and is not cancelled. */
  stopsWithoutTimeToSave(): StopCommand[] {
    return this.stopCommands.filter(({ job, graceS, isCancelled }) => {
      const spec = this.world.jobs.get(job);
      return spec !== undefined && spec.checkpointS > 0 && !isCancelled && graceS < spec.saveS;
    });
  }

  /** Seconds between the first stop command of an attempt and the last task's first one. */
  stopSpreadS(job: string, attempt: number): number {
    const first = new Map<string, number>();
    for (const command of this.stopCommands) {
      if (command.job !== job || command.attempt !== attempt || first.has(command.task)) continue;
      first.set(command.task, command.at);
    }
    const times = [...first.values()];
    return (Math.max(...times) - Math.min(...times)) / 1000;
  }
}
