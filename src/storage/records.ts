/** The records in the key-value store. Their field names never change: older versions read them. */

import type { JobSpec, JobState } from '../protocol/model.js';
import type { AssignmentName } from './keys.js';
import { countRanges, readRanges } from './ranges.js';

/** A job that is neither done nor cancelled. */
export interface JobRecord {
  spec: JobSpec;
  /** Wall-clock time of its acceptance in ms. */
  at: number;
}

/** What remains of a job that is over: its final state never changes. */
export interface FinalRecord {
  state: Extract<JobState, 'done' | 'cancelled'>;
  tasks: number;
}

/**
 * Tasks of one job assigned to one shard. The leader creates it, only the shard changes it. It holds
 * what quotas need, so that it still counts when its job's record is gone.
 */
export interface AssignmentRecord {
  /** Numbers of its tasks, as ranges; so is `done`, those that are done. */
  ids: string;
  done: string;
  /** Placed tasks: machine and attempt by task number. */
  live: Record<string, [machine: string, attempt: number]>;
  team: string;
  cpus: number;
  gpus: number;
  memoryGb: number;
  /** The zone in which its tasks run, chosen by the leader. */
  zone: string;
  /** Of a gang: the attempt under which all of its tasks start, in every shard that has some. */
  attempt?: number;
  /** Of a gang within its fair share: CPUs of arrays it may preempt, by team above its share. */
  reclaim?: Record<string, number>;
  /** Of a gang: its attempt ends, so the other shards stop their tasks of it as well. */
  stopping?: true;
}

/** `drain`: it is drained, nothing more is placed on it; `gone`: returned to the cloud. */
export type MachineState = 'rented' | 'drain' | 'gone';

/** The leader's record of a machine. Without one, a machine may be used. */
export interface MachineRecord {
  state: MachineState;
  type: string;
  zone: string;
  spot: boolean;
  /** Wall-clock time in ms since which it is in this state. */
  at: number;
}

/** A machine's health as its shard derives it from heartbeats. */
export type MachineHealth = 'ok' | 'leaving' | 'silent' | 'faulty';

/** A shard's machines as the leader needs them: type, zone, spot, health. */
export interface StatusRecord {
  machines: Record<string, [type: string, zone: string, spot: 0 | 1, health: MachineHealth]>;
}

/** A member's registration; it is removed when the member's lease expires. */
export interface NodeRecord {
  incarnation: string;
}

/** A role's holder, and the term, which grows with each election. */
export interface RoleRecord {
  owner: string;
  incarnation: string;
  term: number;
  /** Wall-clock time of the last failover to another controller, in ms; 0: never. */
  movedAt: number;
}

/** An assignment as all but its own shard need it. */
export interface AssignmentSummary extends AssignmentName {
  ids: number[];
  done: number;
  /** The machine of each placed task. */
  machines: string[];
  placedCount: number;
  /** Tasks that are not done, and those of them that wait to be placed. */
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

/** The summary of an assignment's record. */
export function summarize(name: AssignmentName, record: AssignmentRecord): AssignmentSummary {
  const machines: string[] = [];
  for (const index in record.live) machines.push(record.live[index]?.[0] ?? '');
  const ids = readRanges(record.ids);
  const done = countRanges(record.done);
  return {
    ...name,
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
