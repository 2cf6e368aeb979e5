/** Makes an assignment's record, in several pieces if one value of the store can't hold it. */
import { bytesOf } from '../../storage/committer.js';
import { splitKey } from '../../storage/keys.js';
import { writeRanges } from '../../storage/ranges.js';
import type { AssignmentRecord } from '../../storage/records.js';
import { isCommitted, type Assignment, type Task } from './assignment.js';

/** A piece of an assignment as it is to be written; the first one keeps the assignment's key. */
export interface Piece {
  key: string;
  record: AssignmentRecord;
  /** The tasks that move to this piece; empty if the assignment is written as a whole. */
  tasks: Task[];
}

/** How an assignment may be divided into pieces. */
export interface SplitLimits {
  /** Machines whose new placements are written. */
  newMachines: ReadonlySet<string>;
  /** Bytes that the record of a piece may have. */
  maxBytes: number;
  /** Whether a key belongs to another assignment already. */
  isKeyTaken: (key: string) => boolean;
}

/** The record of tasks in their present state; new placements only on the machines named. */
function writeRecord(
  assignment: Assignment,
  newMachines: ReadonlySet<string>,
  tasks: Iterable<Task>,
): AssignmentRecord {
  const ids: number[] = [];
  const live: AssignmentRecord['live'] = {};
  const done: number[] = [];
  for (const task of tasks) {
    ids.push(task.index);
    if (task.state === 'placed') {
      if (!isCommitted(assignment, task) && !newMachines.has(task.machine)) continue;
      live[String(task.index)] = [task.machine, task.attempt];
    } else if (task.state === 'done') done.push(task.index);
  }
  return {
    ...assignment.committedRecord,
    ids: writeRanges(ids),
    done: writeRanges(done),
    live,
    ...(assignment.hasFailed ? { stopping: true as const } : {}),
  };
}

/** The last end, above `from` and up to `last`, with which a piece fits; at least one task. */
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
 * The assignment's present record, in as many pieces as values of so many bytes take: the version
 * before may have stored it larger than the key-value store takes now.
 */
export function splitAssignment(assignment: Assignment, limits: SplitLimits): Piece[] {
  const { newMachines, maxBytes, isKeyTaken } = limits;
  const record = writeRecord(assignment, newMachines, assignment.tasks.values());
  if (bytesOf(record) <= maxBytes) return [{ key: assignment.key, record, tasks: [] }];
  const tasks = [...assignment.tasks.values()].sort((a, b) => a.index - b.index);
  const pieces: Piece[] = [];
  let count = 0;
  let from = 0;
  while (from < tasks.length) {
    const start = from;
    const end = lastFittingEnd(
      start,
      tasks.length,
      (to) => bytesOf(writeRecord(assignment, newMachines, tasks.slice(start, to))) <= maxBytes,
    );
    let key = assignment.key;
    while (pieces.length > 0 && isKeyTaken(key)) key = splitKey(assignment.key, ++count);
    const taken = tasks.slice(start, end);
    pieces.push({ key, record: writeRecord(assignment, newMachines, taken), tasks: taken });
    from = end;
  }
  return pieces;
}

/** Pieces on their way to the key-value store, and the assignments that they are taken from. */
export class PlannedPieces {
  private readonly byKey = new Map<string, { from: Assignment; pieces: Piece[] }>();

  /** To be called before the pieces are written: their keys may be seen before the answer comes. */
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
