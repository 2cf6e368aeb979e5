/** Writes chunks (assignments) as the version in production does; follows that version's code. */
import { rangesAsRead, type Fields } from './older-checks.js';

/** A chunk as it is stored. */
export interface StoredChunk extends Fields {
  ids: string;
  done: string;
  live: Record<string, [string, number]>;
}

/** Writes ids as ranges, as writeRanges of both older versions does. */
function writeRanges(ids: Iterable<number>): string {
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
 * Returns a chunk as 89f79d3 rewrites it (Tasks.fill and Tasks.write) after some tasks are done and
 * others are placed. That version keeps the record's key, its ids and all fields that it does not use.
 */
export function rewrittenByProduction(
  record: unknown,
  change: { done?: number[]; placed?: Record<string, [string, number]> },
): StoredChunk {
  const stored = record as StoredChunk;
  const ids = rangesAsRead(stored.ids) ?? [];
  const done = new Set(rangesAsRead(stored.done) ?? []);
  const live: StoredChunk['live'] = {};
  for (const id of ids) {
    if (change.done?.includes(id)) done.add(id);
    const placement = change.placed?.[String(id)] ?? stored.live[String(id)];
    if (placement && !done.has(id)) live[String(id)] = placement;
  }
  return { ...stored, ids: writeRanges(ids), done: writeRanges(done), live };
}
