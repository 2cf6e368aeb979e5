/** The domain's types. The wire's names for them stay in this layer's codecs. */

/** In ascending order. */
const PRIORITIES = ['low', 'normal', 'high', 'production'] as const;
/** How urgent a job is. */
export type Priority = (typeof PRIORITIES)[number];

/** A job as its user submitted it. */
export interface JobSpec {
  id: string;
  class: string;
  team: string;
  /** `gang`: scheduled as a whole, all tasks run together or none does. */
  kind: 'array' | 'service' | 'gang';
  priority: Priority;
  tasks: number;
  cpus: number;
  gpus: number;
  memoryGb: number;
  image: string;
  imageGb: number;
  types: string[] | null;
  zone: string | null;
  oneZone: boolean;
  spread: boolean;
  spot: boolean;
  estimateS: number;
  checkpointS: number;
  saveS: number;
  deadlineS: number | null;
}

/** The states of a job that users see. */
export type JobState = 'queued' | 'running' | 'done' | 'cancelled';

/** A type of machine in the cloud's catalogue. */
export interface MachineType {
  name: string;
  cpus: number;
  gpus: number;
  memoryGb: number;
  cacheGb: number;
  fetchGbPerS: number;
  price: number;
  spotPrice: number;
  bootS: number;
  zones: string[];
}

/** One task of a job. */
export interface TaskRef {
  job: string;
  index: number;
}

/** `gathering`: waits for the other tasks of its gang. */
export type TaskState = 'fetching' | 'gathering' | 'running' | 'saving' | 'exited';

/** `peerLost`: another task of its gang is gone; `timedOut`: its gang was not complete in time. */
export type ExitCause =
  'done' | 'stopped' | 'error' | 'noRoom' | 'busy' | 'unknown' | 'peerLost' | 'timedOut';

/** A task's status in a heartbeat. */
export interface TaskStatus {
  task: TaskRef;
  attempt: number;
  state: TaskState;
  cause: ExitCause | null;
}

/** A worker's heartbeat: its machine and all tasks on it. */
export interface Heartbeat {
  machine: string;
  address: string;
  type: string;
  zone: string;
  spot: boolean;
  workerEpoch: number;
  sequence: number;
  fencingToken: number;
  noticeS: number | null;
  tasks: TaskStatus[];
}

/** A command to a worker for one task. */
export interface Command {
  op: 'start' | 'stop' | 'forget';
  task: TaskRef;
  attempt: number;
  graceS?: number;
}

/** A rented machine as the cloud lists it. */
export interface ListedMachine {
  name: string;
  address: string;
  type: string;
  zone: string;
  spot: boolean;
  state: 'booting' | 'running' | 'failed';
  ageS: number;
}

/** A task's name: `JOB/INDEX`. */
export function taskName(task: TaskRef): string {
  return `${task.job}/${task.index}`;
}

/** The task that a name denotes; null: it is no task name. */
export function parseTaskName(name: string): TaskRef | null {
  const slash = name.lastIndexOf('/');
  if (slash < 1) return null;
  const index = Number(name.slice(slash + 1));
  if (!Number.isInteger(index) || index < 0) return null;
  return { job: name.slice(0, slash), index };
}

/** A priority as a number: the greater, the more urgent. */
export function rankOf(priority: Priority): number {
  return PRIORITIES.indexOf(priority);
}
