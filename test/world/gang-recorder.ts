/** Records the stop commands and the ends of gang tasks in the simulated cluster. */
import type { SimTask } from './jobs.js';
import type { SimWorker } from './worker.js';
import type { World } from './world.js';

/** ms between two inspections of the tasks on all machines. */
const INSPECT_EVERY_MS = 50;

/** A stop command that reached a gang task before the task had ended. */
export interface StopCommand {
  job: string;
  task: string;
  attempt: number;
  machine: string;
  graceS: number;
  /** Simulated time in ms. */
  at: number;
  /** True if the job's cancellation had been confirmed to its user before. */
  isCancelled: boolean;
}

/** The exit of a task on a machine. */
export interface TaskEnd {
  job: string;
  task: string;
  attempt: number;
  machine: string;
  cause: string;
  isProgressSaved: boolean;
  /** Simulated time in ms. */
  at: number;
}

const jobOf = (task: string): string => task.split('/')[0] ?? '';

/** Records stop commands and ends of gang tasks, and jobs that have tasks of two attempts at once. */
export class GangRecorder {
  readonly stopCommands: StopCommand[] = [];
  readonly ends: TaskEnd[] = [];
  /** Jobs with tasks of two attempts on machines at the same time. */
  readonly jobsWithTwoAttempts = new Set<string>();
  /** Called with each stop command before the command takes effect. */
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

  /** Wraps the method that stops gang tasks. */
  private recordStopCommands(): void {
    const { gangs } = this.world;
    const original = gangs.halt.bind(gangs);
    gangs.halt = (worker, task, simTask, graceS) => {
      const job = jobOf(task);
      const command: StopCommand = {
        job,
        task,
        attempt: simTask.attempt,
        machine: worker.machine.name,
        graceS,
        at: this.world.clock.now(),
        isCancelled: (this.world.jobs.get(job)?.cancelledAt ?? null) !== null,
      };
      this.stopCommands.push(command);
      this.onStopCommand(command);
      original(worker, task, simTask, graceS);
    };
  }

  /** Looks for jobs with two attempts, and for workers whose ends are not recorded yet. */
  private inspect(): void {
    const attempts = new Map<string, number>();
    for (const worker of this.world.workers.values()) {
      if (!this.recordedWorkers.has(worker)) this.recordEnds(worker);
      for (const [task, simTask] of worker.tasksOnMachine()) {
        const job = jobOf(task);
        if (!this.world.jobs.get(job)?.gang) continue;
        const other = attempts.get(job);
        if (other !== undefined && other !== simTask.attempt) this.jobsWithTwoAttempts.add(job);
        attempts.set(job, simTask.attempt);
      }
    }
  }

  /** Wraps the method by which the tasks of a worker exit. */
  private recordEnds(worker: SimWorker): void {
    this.recordedWorkers.add(worker);
    const original = worker.exit.bind(worker);
    worker.exit = (simTask: SimTask, cause: string) => {
      original(simTask, cause);
      const [task] = [...worker.tasks].find(([, one]) => one === simTask) ?? [];
      if (task === undefined) return;
      this.ends.push({
        job: jobOf(task),
        task,
        attempt: simTask.attempt,
        machine: worker.machine.name,
        cause,
        isProgressSaved: simTask.isProgressSaved === true,
        at: this.world.clock.now(),
      });
    };
  }

  /** Returns the ends of the tasks of one attempt. */
  endsOf(job: string, attempt: number): TaskEnd[] {
    return this.ends.filter((one) => one.job === job && one.attempt === attempt);
  }

  /** Returns stop commands with too little grace to save, for jobs with checkpoints that are not cancelled. */
  stopsWithoutTimeToSave(): StopCommand[] {
    return this.stopCommands.filter(({ job, graceS, isCancelled }) => {
      const spec = this.world.jobs.get(job);
      return spec !== undefined && spec.checkpointS > 0 && !isCancelled && graceS < spec.saveS;
    });
  }

  /**
   * Returns the seconds between the stop of the first and the stop of the last task of an attempt. Only
   * the first stop command for each task counts.
   */
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
