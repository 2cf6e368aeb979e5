/** The keys in the state service. `live/` is read whole at start; finished jobs are only looked up. */

/** All keys of the program. */
export const ROOT = 'mb/';
/** Keys that every node holds a copy of. */
export const LIVE = 'mb/live/';

// Prefixes of one kind of record each.
export const JOBS = 'mb/live/job/';
export const ASSIGNMENTS = 'mb/live/chunk/';
export const MACHINES = 'mb/live/machine/';
export const STATUSES = 'mb/live/status/';
export const NODES = 'mb/live/node/';
export const ROLES = 'mb/live/role/';
export const ARMS = 'mb/live/arm/';
/** The first record of machine types. */
export const CATALOG = 'mb/live/catalog';
/** Machine types that the first record has no room for; the version before reads only that one. */
export const CATALOG_MORE = 'mb/live/catalog/';

/** Jobs that are over; no node holds them all. */
export const FINALS = 'mb/final/';

/** The record of a job that is neither done nor cancelled. */
export const jobKey = (id: string): string => JOBS + id;

/** The record of a job that is over. */
export const finalKey = (id: string): string => FINALS + id;

/** The leader's record of a machine. */
export const machineKey = (name: string): string => MACHINES + name;

/** A node's registration as a member. */
export const nodeKey = (node: string): string => NODES + node;

/** The holder of a role. */
export const roleKey = (role: string): string => ROLES + role;

/** All chunks of one part. */
export const assignmentPrefix = (shard: string): string => `${ASSIGNMENTS}${shard}/`;

/** One chunk of a job's tasks in a part. */
export const assignmentKey = (shard: string, job: string, number: number): string =>
  `${ASSIGNMENTS}${shard}/${job}/${number}`;

/** One shard of the status of a part's machines. */
export const statusKey = (shard: string, page: number): string => `${STATUSES}${shard}/${page}`;

/** What a part has learned of a machine type. */
export const armKey = (shard: string, type: string): string => `${ARMS}${shard}/${type}`;

/** A chunk taken from another one; the version before reads its number as a decimal, to sort by. */
export const splitKey = (key: string, count: number): string => {
  const dot = key.indexOf('.', key.lastIndexOf('/'));
  return `${dot < 0 ? key : key.slice(0, dot)}.${count}`;
};

/** The parts of a chunk's key; null: it is not one. */
export function readAssignmentKey(
  key: string,
): { shard: string; job: string; number: number } | null {
  const parts = key.slice(ASSIGNMENTS.length).split('/');
  if (parts.length !== 3) return null;
  return { shard: parts[0] ?? '', job: parts[1] ?? '', number: Number(parts[2]) };
}
