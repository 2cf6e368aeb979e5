/** The field's own words for what the service deals with; the wire's names stay in this layer. */

export const PRIORITIES = ['low', 'normal', 'high', 'production'] as const;
export type Priority = (typeof PRIORITIES)[number];

export interface JobSpec {
  id: string;
  class: string;
  team: string;
  /** `gang`: all tasks run together or none does. */
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

export type JobState = 'queued' | 'running' | 'done' | 'cancelled';

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

export interface TaskRef {
  job: string;
  index: number;
}

/** `gathering`: waits for the other tasks of its gang. */
export type TaskState = 'fetching' | 'gathering' | 'running' | 'saving' | 'exited';
/** `peerLost`: another task of its gang is gone; `timedOut`: its gang was not complete in time. */
export type ExitCause =
  'done' | 'stopped' | 'error' | 'noRoom' | 'busy' | 'unknown' | 'peerLost' | 'timedOut';

export interface TaskReport {
  task: TaskRef;
  attempt: number;
  state: TaskState;
  cause: ExitCause | null;
}

export interface WorkerReport {
  machine: string;
  address: string;
  type: string;
  zone: string;
  spot: boolean;
  session: number;
  seq: number;
  token: number;
  noticeS: number | null;
  tasks: TaskReport[];
}

export interface Command {
  op: 'start' | 'stop' | 'forget';
  task: TaskRef;
  attempt: number;
  graceS?: number;
}

export interface ListedMachine {
  name: string;
  address: string;
  type: string;
  zone: string;
  spot: boolean;
  state: 'booting' | 'running' | 'failed';
  ageS: number;
}

export function taskName(task: TaskRef): string {
  return `${task.job}/${task.index}`;
}

export function parseTaskName(name: string): TaskRef | null {
  const slash = name.lastIndexOf('/');
  if (slash < 1) return null;
  const index = Number(name.slice(slash + 1));
  if (!Number.isInteger(index) || index < 0) return null;
  return { job: name.slice(0, slash), index };
}

/** Greatest first: `production` outranks `high`, and so on. */
export function rankOf(priority: Priority): number {
  return PRIORITIES.indexOf(priority);
}
