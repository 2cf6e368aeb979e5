/** The records in the state service. Their field names never change: older versions read them. */

import type { JobSpec, JobState } from '../protocol/model.js';
import { countRanges, readRanges } from './ranges.js';

/** A job that is neither done nor cancelled. */
export interface JobRecord {
  spec: JobSpec;
  /** Time of day of its acceptance in ms. */
  at: number;
}

/** What is left of a job: its final state never changes. */
export interface FinalRecord {
  state: Extract<JobState, 'done' | 'cancelled'>;
  tasks: number;
}

/**
 * Some tasks of a job in the hands of one part. The leader makes it, only the part changes it; it
 * holds what team limits need, so that it still counts when its job's record is gone.
 */
export interface AssignmentRecord {
  /** Task numbers, as ranges. */
  ids: string;
  done: string;
  /** Placed tasks: machine and attempt by task number. */
  live: Record<string, [machine: string, attempt: number]>;
  team: string;
  cpus: number;
  gpus: number;
  memoryGb: number;
  /** The zone its tasks run in; the leader settled it. */
  zone: string;
  /** Of a gang: the attempt under which all of its tasks start, in every part that has some. */
  attempt?: number;
  /** Of a gang within its team's guarantee: CPUs of arrays that it may stop of teams beyond theirs. */
  reclaim?: Record<string, number>;
  /** Of a gang: its attempt ends, so the other parts stop their shares of it as well. */
  stopping?: true;
}

/** `drain`: nothing more is placed on it; `gone`: given back. */
export type MachineState = 'rented' | 'drain' | 'gone';

/** The leader's record of a machine. Without one, a machine may be used. */
export interface MachineRecord {
  state: MachineState;
  type: string;
  zone: string;
  spot: boolean;
  /** Time of day of the state's beginning in ms. */
  at: number;
}

/** A machine's health as its part judges it from the worker's reports. */
export type MachineHealth = 'ok' | 'leaving' | 'silent' | 'faulty';

/** A part's machines as the leader needs them: type, zone, spot, health. */
export interface StatusRecord {
  machines: Record<string, [type: string, zone: string, spot: 0 | 1, health: MachineHealth]>;
}

/** A member's registration; it goes when the member's lease ends. */
export interface NodeRecord {
  incarnation: string;
}

/** Who holds a role, and the term, which grows with each claim. */
export interface RoleRecord {
  owner: string;
  incarnation: string;
  term: number;
  /** Time of day at which the role last went from one node to another, in ms; 0: never. */
  movedAt: number;
}

/** A chunk as it counts for everyone but its own part. */
export interface AssignmentSummary {
  shard: string;
  job: string;
  number: number;
  ids: number[];
  done: number;
  /** The machine of each placed task. */
  machines: string[];
  placedCount: number;
  /** Tasks that are not done, and those of them that wait for a place. */
  unfinished: number;
  waiting: number;
  team: string;
  cpus: number;
  gpus: number;
  memoryGb: number;
  zone: string;
  /** Of a gang: the attempt of all its tasks. */
  attempt: number | null;
  stopping: boolean;
}

/** The summary of a chunk's record. */
export function summarize(
  key: { shard: string; job: string; number: number },
  record: AssignmentRecord,
): AssignmentSummary {
  const machines: string[] = [];
  for (const index in record.live) machines.push(record.live[index]?.[0] ?? '');
  const ids = readRanges(record.ids);
  const done = countRanges(record.done);
  return {
    ...key,
    ids,
    done,
    machines,
    placedCount: machines.length,
    unfinished: ids.length - done,
    waiting: ids.length - done - machines.length,
    team: record.team,
    cpus: record.cpus,
    gpus: record.gpus,
    memoryGb: record.memoryGb,
    zone: record.zone,
    attempt: record.attempt ?? null,
    stopping: record.stopping ?? false,
  };
}
