/**
 * The keys in the key-value store. All of `live/` is read at start; jobs that are over are only looked
 * up.
 */

/** All keys of the program. */
export const ROOT = 'mb/';
/** Keys that every controller replicates. */
export const LIVE = 'mb/live/';

// Prefixes, each of one kind of record.
export const JOBS = 'mb/live/job/';
export const ASSIGNMENTS = 'mb/live/chunk/';
export const MACHINES = 'mb/live/machine/';
export const STATUSES = 'mb/live/status/';
export const NODES = 'mb/live/node/';
export const ROLES = 'mb/live/role/';
export const ARMS = 'mb/live/arm/';
/** The first record of machine types. */
export const CATALOG = 'mb/live/catalog';
/** Machine types that do not fit into the first record; the previous version reads only that one. */
export const CATALOG_MORE = 'mb/live/catalog/';

/** Jobs that are over; no controller holds all of them. */
export const FINALS = 'mb/final/';

/** The record of a job that is neither done nor cancelled. */
export const jobKey = (id: string): string => JOBS + id;

/** The record of a job that is over. */
export const finalKey = (id: string): string => FINALS + id;

/** The leader's record of a machine. */
export const machineKey = (name: string): string => MACHINES + name;

/** A controller's registration as a member. */
export const nodeKey = (node: string): string => NODES + node;

/** The holder of a role. */
export const roleKey = (role: string): string => ROLES + role;

/** All assignments of a shard. */
export const assignmentPrefix = (shard: string): string => `${ASSIGNMENTS}${shard}/`;

/** One assignment of a job's tasks to a shard. */
export const assignmentKey = (shard: string, job: string, number: number): string =>
  `${ASSIGNMENTS}${shard}/${job}/${number}`;

/** One page of the status of a shard's machines. */
export const statusKey = (shard: string, page: number): string => `${STATUSES}${shard}/${page}`;

/** What a shard has learned of a machine type. */
export const armKey = (shard: string, type: string): string => `${ARMS}${shard}/${type}`;

/** An assignment split off another; the previous version sorts by its number, read as a decimal. */
export const splitKey = (key: string, count: number): string => {
  const dot = key.indexOf('.', key.lastIndexOf('/'));
  return `${dot < 0 ? key : key.slice(0, dot)}.${count}`;
};

/** What an assignment's key says: its shard, its job, and its number among the job's assignments. */
export interface AssignmentName {
  shard: string;
  job: string;
  number: number;
}

/** The name in an assignment's key; null: it is no such key. */
export function readAssignmentKey(key: string): AssignmentName | null {
  const segments = key.slice(ASSIGNMENTS.length).split('/');
  if (segments.length !== 3) return null;
  const [shard = '', job = '', number] = segments;
  return { shard, job, number: Number(number) };
}
