/** Writes a chunk's record, in several pieces if one value of the state service can't hold it. */
import { bytesOf } from '../../storage/committer.js';
import { splitKey } from '../../storage/keys.js';
import { writeRanges } from '../../storage/ranges.js';
import type { AssignmentRecord } from '../../storage/records.js';
import { isCommitted, type Assignment, type Slot } from './assignment.js';

/** A part of a chunk as it is to be written; the first one keeps the chunk's key. */
export interface Piece {
  key: string;
  record: AssignmentRecord;
  /** The slots that move to this piece; empty if the chunk is written as a whole. */
  slots: Slot[];
}

/** How a chunk may be divided into pieces. */
export interface SplitLimits {
  /** Machines whose new placements are written. */
  newMachines: ReadonlySet<string>;
  /** Bytes that the record of a piece may have. */
  maxBytes: number;
  /** Whether a key belongs to another chunk already. */
  isKeyTaken: (key: string) => boolean;
}

/** The record of a chunk's slots as they are now; new placements only on the machines named. */
function writeRecord(
  assignment: Assignment,
  newMachines: ReadonlySet<string>,
  slots: Iterable<Slot>,
): AssignmentRecord {
  const ids: number[] = [];
  const live: AssignmentRecord['live'] = {};
  const done: number[] = [];
  for (const slot of slots) {
    ids.push(slot.index);
    if (slot.state === 'live') {
      if (!isCommitted(assignment, slot) && !newMachines.has(slot.machine)) continue;
      live[String(slot.index)] = [slot.machine, slot.attempt];
    } else if (slot.state === 'done') done.push(slot.index);
  }
  return {
    ...assignment.stored,
    ids: writeRanges(ids),
    done: writeRanges(done),
    live,
    ...(assignment.broken ? { stopping: true as const } : {}),
  };
}

/** The last end, above `from` and up to `last`, with which a piece fits; at least one slot. */
function lastFittingEnd(from: number, last: number, fits: (end: number) => boolean): number {
  let end = from + 1;
  let least = end;
  let most = last;
  while (least <= most) {
    const middle = Math.floor((least + most) / 2);
    if (fits(middle)) {
      end = middle;
      least = middle + 1;
    } else most = middle - 1;
  }
  return end;
}

/**
 * The chunk's record as it is now, in as many pieces as values of so many bytes take: the version
 * before may have stored it larger than the state service takes now.
 */
export function splitAssignment(assignment: Assignment, limits: SplitLimits): Piece[] {
  const { newMachines, maxBytes, isKeyTaken } = limits;
  const record = writeRecord(assignment, newMachines, assignment.slots.values());
  if (bytesOf(record) <= maxBytes) return [{ key: assignment.key, record, slots: [] }];
  const slots = [...assignment.slots.values()].sort((a, b) => a.index - b.index);
  const pieces: Piece[] = [];
  let count = 0;
  let from = 0;
  while (from < slots.length) {
    const start = from;
    const end = lastFittingEnd(
      start,
      slots.length,
      (to) => bytesOf(writeRecord(assignment, newMachines, slots.slice(start, to))) <= maxBytes,
    );
    let key = assignment.key;
    while (pieces.length > 0 && isKeyTaken(key)) key = splitKey(assignment.key, ++count);
    const some = slots.slice(start, end);
    pieces.push({ key, record: writeRecord(assignment, newMachines, some), slots: some });
    from = end;
  }
  return pieces;
}

/** Pieces on their way to the state service, and the chunks that they are taken from. */
export class PlannedPieces {
  private readonly byKey = new Map<string, { from: Assignment; pieces: Piece[] }>();

  /** Told before the pieces are written: their keys may be seen before the answer comes. */
  add(from: Assignment, pieces: Piece[]): void {
    for (const { key } of pieces.slice(1)) this.byKey.set(key, { from, pieces });
  }

  /** The pieces were written, or were not and never will be. */
  remove(pieces: Piece[]): void {
    for (const { key } of pieces.slice(1)) this.byKey.delete(key);
  }

  /** The pieces among which is the one with this key. */
  get(key: string): { from: Assignment; pieces: Piece[] } | undefined {
    return this.byKey.get(key);
  }
}
