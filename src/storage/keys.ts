/**
 * Builds the keys of all records in the key-value store. Each controller replicates the keys below
 * `LIVE`; records of ended jobs are read one by one when needed.
 */

/** Prefix of all keys of the program. */
export const ROOT = 'mb/';
/** Prefix of the keys that every controller replicates. */
export const LIVE = 'mb/live/';

// Prefixes of the keys of one kind of record each.
export const JOBS = 'mb/live/job/';
export const ASSIGNMENTS = 'mb/live/chunk/';
export const MACHINES = 'mb/live/machine/';
export const STATUSES = 'mb/live/status/';
export const NODES = 'mb/live/node/';
export const ROLES = 'mb/live/role/';
export const ARMS = 'mb/live/arm/';
/** Key of the first record of machine types. */
export const CATALOG = 'mb/live/catalog';
/**
 * Prefix of further records of machine types, for those that do not fit into the first record. The
 * previous version reads only the first record.
 */
export const CATALOG_OVERFLOW = 'mb/live/catalog/';

/** Prefix of the records of ended jobs, of which a controller caches only some. */
export const FINALS = 'mb/final/';

/** Returns the key of a job that is neither done nor cancelled. */
export const jobKey = (id: string): string => JOBS + id;

/** Returns the key of an ended job's final record. */
export const finalKey = (id: string): string => FINALS + id;

/** Returns the key of the leader's record of a machine. */
export const machineKey = (name: string): string => MACHINES + name;

/** Returns the key of a controller's registration as a member. */
export const nodeKey = (node: string): string => NODES + node;

/** Returns the key of the record that names a role's holder. */
export const roleKey = (role: string): string => ROLES + role;

/** Returns the prefix of the keys of all assignments of a shard. */
export const assignmentPrefix = (shard: string): string => `${ASSIGNMENTS}${shard}/`;

/** Returns the key of one assignment of a job's tasks to a shard. */
export const assignmentKey = (shard: string, job: string, number: number): string =>
  `${ASSIGNMENTS}${shard}/${job}/${number}`;

/** Returns the key of one page of the status of a shard's machines. */
export const statusKey = (shard: string, page: number): string => `${STATUSES}${shard}/${page}`;

/** Returns the key of a shard's bandit arm for a machine type. */
export const armKey = (shard: string, type: string): string => `${ARMS}${shard}/${type}`;

/**
 * Returns the key of an assignment that was split off another. Its number has the form
 * `NUMBER.COUNT`, because the previous version sorts assignments by this number as a decimal.
 */
export const splitKey = (key: string, count: number): string => {
  const dot = key.indexOf('.', key.lastIndexOf('/'));
  return `${dot < 0 ? key : key.slice(0, dot)}.${count}`;
};

/** The parts of an assignment's key; `number` is its number among the job's assignments. */
export interface AssignmentName {
  shard: string;
  job: string;
  number: number;
}

/** Parses an assignment's key. Returns null for any other key. */
export function readAssignmentKey(key: string): AssignmentName | null {
  const segments = key.slice(ASSIGNMENTS.length).split('/');
  if (segments.length !== 3) return null;
  const [shard = '', job = '', number] = segments;
  return { shard, job, number: Number(number) };
}
