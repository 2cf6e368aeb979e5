/** The keys in the state service. `live/` is read whole at start; finished jobs are only looked up. */

export const ROOT = 'mb/';
export const LIVE = 'mb/live/';

export const JOBS = 'mb/live/job/';
export const CHUNKS = 'mb/live/chunk/';
export const MACHINES = 'mb/live/machine/';
export const STATUSES = 'mb/live/status/';
export const NODES = 'mb/live/node/';
export const ROLES = 'mb/live/role/';
export const ARMS = 'mb/live/arm/';
export const CATALOG = 'mb/live/catalog';
/** Machine types that the first record has no room for; the version before reads only that one. */
export const CATALOG_MORE = 'mb/live/catalog/';
export const FINALS = 'mb/final/';

export const jobKey = (id: string): string => JOBS + id;
export const finalKey = (id: string): string => FINALS + id;
export const machineKey = (name: string): string => MACHINES + name;
export const nodeKey = (node: string): string => NODES + node;
export const roleKey = (role: string): string => ROLES + role;
export const chunkPrefix = (part: string): string => `${CHUNKS}${part}/`;
export const chunkKey = (part: string, job: string, number: number): string =>
  `${CHUNKS}${part}/${job}/${number}`;
export const statusKey = (part: string, shard: number): string => `${STATUSES}${part}/${shard}`;
export const armKey = (part: string, type: string): string => `${ARMS}${part}/${type}`;

/** A chunk taken from another one; the version before reads its number as a decimal, to sort by. */
export const splitKey = (key: string, count: number): string => {
  const dot = key.indexOf('.', key.lastIndexOf('/'));
  return `${dot < 0 ? key : key.slice(0, dot)}.${count}`;
};

export function readChunkKey(key: string): { part: string; job: string; number: number } | null {
  const parts = key.slice(CHUNKS.length).split('/');
  if (parts.length !== 3) return null;
  return { part: parts[0] ?? '', job: parts[1] ?? '', number: Number(parts[2]) };
}
