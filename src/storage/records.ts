/**
 * Defines the records in the key-value store. Their field names never change, because older
 * versions read them too.
 */

import type { JobSpec, JobState } from '../protocol/model.js';
import type { AssignmentName } from './keys.js';
import { countRanges, readRanges } from './ranges.js';

/** A job that is neither done nor cancelled. */
export interface JobRecord {
  spec: JobSpec;
  /** Wall-clock time in ms at which the job was accepted. */
  at: number;
}

/** The record that remains of an ended job; its final state never changes. */
export interface FinalRecord {
  state: Extract<JobState, 'done' | 'cancelled'>;
  tasks: number;
}

/**
 * Tasks of one job that one shard holds. The leader creates the record, and only the shard changes
 * it. It contains the team and the resources of each task, so that it counts towards quotas even
 * after the job's record was removed.
 */
export interface AssignmentRecord {
  /** Numbers of its tasks, as ranges. */
  ids: string;
  /** Numbers of those tasks that are done, as ranges. */
  done: string;
  /** Placed tasks: machine and attempt by task number. */
  live: Record<string, [machine: string, attempt: number]>;
  team: string;
  cpus: number;
  gpus: number;
  memoryGb: number;
  /** Zone in which the tasks run, selected by the leader. */
  zone: string;
  /**
   * Only for gangs: number of the attempt under which all tasks of the gang start, in each shard.
   */
  attempt?: number;
  /**
   * Only for gangs of a team within its fair share: CPUs of job arrays that the gang may preempt,
   * for each team that exceeds its fair share.
   */
  reclaim?: Record<string, number>;
  /** Only for gangs: this attempt of the gang is ending, so all shards stop its tasks. */
  stopping?: true;
}

/**
 * State of a machine in the leader's record. `drain`: the machine gets no new tasks; `gone`: it was
 * returned to the cloud.
 */
export type MachineState = 'rented' | 'drain' | 'gone';

/** The leader's record of a machine. A machine without a record may be used. */
export interface MachineRecord {
  state: MachineState;
  type: string;
  zone: string;
  spot: boolean;
  /** Wall-clock time in ms at which the machine entered this state. */
  at: number;
}

/** Health of a machine, which its shard derives from heartbeats. */
export type MachineHealth = 'ok' | 'leaving' | 'silent' | 'faulty';

/** Type, zone, spot flag and health of each of a shard's machines, for the leader. */
export interface StatusRecord {
  machines: Record<string, [type: string, zone: string, spot: 0 | 1, health: MachineHealth]>;
}

/** A member's registration, which is removed when the member's lease expires. */
export interface NodeRecord {
  incarnation: string;
}

/** The holder of a role. The term grows by 1 with each claim. */
export interface RoleRecord {
  owner: string;
  incarnation: string;
  term: number;
  /** Wall-clock time in ms of the last failover to another controller; 0 if there was none. */
  movedAt: number;
}

/** Parsed content of an assignment's record, for all readers but the shard that holds it. */
export interface AssignmentSummary extends AssignmentName {
  ids: number[];
  done: number;
  /** Machine of each placed task. */
  machines: string[];
  placedCount: number;
  /** Number of tasks that are not done. */
  unfinished: number;
  /** Number of unfinished tasks that are not placed. */
  waiting: number;
  team: string;
  cpus: number;
  gpus: number;
  memoryGb: number;
  zone: string;
  /** Number of the attempt of a gang's tasks; null for other jobs. */
  attempt: number | null;
  stopping: boolean;
}

/** Returns the summary of an assignment's record. */
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
