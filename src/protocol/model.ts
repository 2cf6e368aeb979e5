/**
 * Data types of jobs, tasks, machines, and workers' heartbeats and commands. The codecs and API
 * clients translate their fields to the names in requests and responses.
 */

/** The priorities in ascending order. */
const PRIORITIES = ['low', 'normal', 'high', 'production'] as const;
/** The priority of a job. */
export type Priority = (typeof PRIORITIES)[number];

/** A job as its user submitted it. `cpus`, `gpus` and `memoryGb` are the resources of one task. */
export interface JobSpec {
  id: string;
  class: string;
  team: string;
  /** `gang`: all tasks of the job run at the same time, or none does. */
  kind: 'array' | 'service' | 'gang';
  priority: Priority;
  tasks: number;
  cpus: number;
  gpus: number;
  memoryGb: number;
  image: string;
  imageGb: number;
  /** Names of the allowed machine types; null: all. */
  types: string[] | null;
  /** The only allowed zone; null: all are allowed. */
  zone: string | null;
  /** All tasks must run in the same zone. */
  oneZone: boolean;
  /** At most half of the tasks, rounded up, may run in one zone. */
  spread: boolean;
  /** Tasks may run on spot machines. */
  spot: boolean;
  /** Expected run time of a task in seconds. */
  estimateS: number;
  /** Seconds between two checkpoints of a task; 0: it makes none. */
  checkpointS: number;
  /** Seconds that a task needs to save its progress when it is stopped. */
  saveS: number;
  /** Seconds from acceptance within which the job should end; null: no deadline. */
  deadlineS: number | null;
}

/** The states of a job that users see. */
export type JobState = 'queued' | 'running' | 'done' | 'cancelled';

/** A machine type that the cloud offers. */
export interface MachineType {
  name: string;
  cpus: number;
  gpus: number;
  memoryGb: number;
  cacheGb: number;
  /** GB per second at which a machine fetches images. */
  fetchGbPerS: number;
  price: number;
  spotPrice: number;
  /** Seconds from rental until the machine runs. */
  bootS: number;
  zones: string[];
}

/** A reference to one task of a job. */
export interface TaskRef {
  job: string;
  index: number;
}

/** The state of a task on its machine. `gathering`: it waits for the other tasks of its gang. */
export type TaskState = 'fetching' | 'gathering' | 'running' | 'saving' | 'exited';

/**
 * The cause of a task's exit. `noCapacity`: the machine lacked free capacity. `peerLost`: another task
 * of its gang ended. `timedOut`: its gang was not complete in time.
 */
export type ExitCause =
  'done' | 'stopped' | 'error' | 'noCapacity' | 'busy' | 'unknown' | 'peerLost' | 'timedOut';

/** The status of a task in a heartbeat. */
export interface TaskStatus {
  task: TaskRef;
  attempt: number;
  state: TaskState;
  /** Null unless the task has exited. */
  cause: ExitCause | null;
}

/** A worker's heartbeat, with its machine and all tasks on it. */
export interface Heartbeat {
  machine: string;
  address: string;
  type: string;
  zone: string;
  spot: boolean;
  /** Increases when the worker's lease expires; a restarted worker may count from 1 again. */
  workerEpoch: number;
  /** Increases with each heartbeat; a restarted worker may count from 1 again. */
  sequence: number;
  /** The highest fencing token that the worker has received. */
  fencingToken: number;
  /** Seconds until the cloud takes the machine away; null: the cloud has given no notice. */
  noticeS: number | null;
  tasks: TaskStatus[];
}

/** A command to a worker for one task. */
export interface Command {
  op: 'start' | 'stop' | 'forget';
  task: TaskRef;
  attempt: number;
  /** Of a `stop`: seconds that the task has to save its progress. */
  graceS?: number;
}

/** A machine in the cloud's list of rented machines. */
export interface ListedMachine {
  name: string;
  address: string;
  type: string;
  zone: string;
  spot: boolean;
  state: 'booting' | 'running' | 'failed';
  /** Seconds since the machine was rented. */
  ageS: number;
}

/** Returns the name of a task on the wire: `JOB/INDEX`. */
export function taskName(task: TaskRef): string {
  return `${task.job}/${task.index}`;
}

/** Parses a task name of the form `JOB/INDEX`; null: the text is not a task name. */
export function parseTaskName(name: string): TaskRef | null {
  const slash = name.lastIndexOf('/');
  if (slash < 1) return null;
  const index = Number(name.slice(slash + 1));
  if (!Number.isInteger(index) || index < 0) return null;
  return { job: name.slice(0, slash), index };
}

/** Returns the rank of a priority, from 0 for the lowest; a higher rank is more urgent. */
export function rankOf(priority: Priority): number {
  return PRIORITIES.indexOf(priority);
}
