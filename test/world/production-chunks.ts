/** How the version in production writes a part's chunks, taken from reading its code. */
import { rangesAsRead, type Fields } from './older-checks.js';

/** A chunk as it is stored. */
export interface Stored extends Fields {
  ids: string;
  done: string;
  live: Record<string, [string, number]>;
}

/** writeRanges of both versions. */
function asRanges(ids: Iterable<number>): string {
  const ranges: [number, number][] = [];
  for (const id of [...ids].sort((a, b) => a - b)) {
    const last = ranges[ranges.length - 1];
    if (last && last[1] === id - 1) last[1] = id;
    else ranges.push([id, id]);
  }
  return ranges
    .map(([first, last]) => (first === last ? `${first}` : `${first}-${last}`))
    .join(',');
}

/**
 * What 89f79d3 makes of a chunk when tasks end and others are placed: Tasks.fill and Tasks.write.
 * It keeps the record's other fields, the key, and the tasks that are in it.
 */
export function writtenByProduction(
  record: unknown,
  change: { done?: number[]; placed?: Record<string, [string, number]> },
): Stored {
  const stored = record as Stored;
  const ids = rangesAsRead(stored.ids) ?? [];
  const done = new Set(rangesAsRead(stored.done) ?? []);
  const live: Stored['live'] = {};
  for (const id of ids) {
    if (change.done?.includes(id)) done.add(id);
    const placement = change.placed?.[String(id)] ?? stored.live[String(id)];
    if (placement && !done.has(id)) live[String(id)] = placement;
  }
  return { ...stored, ids: asRanges(ids), done: asRanges(done), live };
}
