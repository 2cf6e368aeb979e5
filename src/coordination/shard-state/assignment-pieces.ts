/** Builds an assignment's record, in several pieces if one value of the store can't hold it. */
import { bytesOf } from '../../storage/committer.js';
import { splitKey } from '../../storage/keys.js';
import { writeRanges } from '../../storage/ranges.js';
import type { AssignmentRecord } from '../../storage/records.js';
import { isCommitted, type Assignment, type Task } from './assignment.js';

/**
 * One of the records into which an assignment is split; the first one keeps the assignment's key.
 */
export interface AssignmentPiece {
  key: string;
  record: AssignmentRecord;
  /** The tasks that this piece's record contains; empty if the assignment is written as a whole. */
  tasks: Task[];
}

/** The conditions under which an assignment is split into pieces. */
export interface SplitLimits {
  /** Machines on which new placements are written; those on other machines are left out. */
  newMachines: ReadonlySet<string>;
  /** Maximum size of the record of a piece, in bytes. */
  maxBytes: number;
  /** Whether an assignment with this key already exists. */
  isKeyTaken: (key: string) => boolean;
}

/**
 * The record of these tasks in their current state. A placement that is not committed yet is
 * included only if its machine is one of `newMachines`.
 */
function buildRecord(
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

/**
 * The end (exclusive, as a position in the sorted tasks) of the longest piece that begins at `from`
 * and for which `fits` returns true, at most `last`; `from + 1` if not even one task fits.
 */
function lastFittingEnd(from: number, last: number, fits: (end: number) => boolean): number {
  let end = from + 1;
  let low = end;
  let high = last;
  while (low <= high) {
    const middle = Math.floor((low + high) / 2);
    if (fits(middle)) {
      end = middle;
      low = middle + 1;
    } else high = middle - 1;
  }
  return end;
}

/**
 * The assignment's current record, in as many pieces as are needed so that each fits `maxBytes`.
 * The previous version of this program may have stored a record that is larger than the key-value
 * store accepts now.
 */
export function splitAssignment(assignment: Assignment, limits: SplitLimits): AssignmentPiece[] {
  const { newMachines, maxBytes, isKeyTaken } = limits;
  const record = buildRecord(assignment, newMachines, assignment.tasks.values());
  if (bytesOf(record) <= maxBytes) return [{ key: assignment.key, record, tasks: [] }];
  const tasks = [...assignment.tasks.values()].sort((a, b) => a.index - b.index);
  const pieces: AssignmentPiece[] = [];
  let count = 0;
  let from = 0;
  while (from < tasks.length) {
    const start = from;
    const end = lastFittingEnd(
      start,
      tasks.length,
      (to) => bytesOf(buildRecord(assignment, newMachines, tasks.slice(start, to))) <= maxBytes,
    );
    let key = assignment.key;
    while (pieces.length > 0 && isKeyTaken(key)) key = splitKey(assignment.key, ++count);
    const taken = tasks.slice(start, end);
    pieces.push({ key, record: buildRecord(assignment, newMachines, taken), tasks: taken });
    from = end;
  }
  return pieces;
}

/**
 * The pieces that are being written to the key-value store, with the assignments that were split.
 */
export class PlannedPieces {
  private readonly byKey = new Map<string, { source: Assignment; pieces: AssignmentPiece[] }>();

  /**
   * Adds pieces. Must be called before they are written, because the replica may show their keys
   * before the store's answer arrives.
   */
  add(source: Assignment, pieces: AssignmentPiece[]): void {
    for (const { key } of pieces.slice(1)) this.byKey.set(key, { source, pieces });
  }

  /** Removes pieces whose write has ended, with or without success. */
  remove(pieces: AssignmentPiece[]): void {
    for (const { key } of pieces.slice(1)) this.byKey.delete(key);
  }

  /**
   * The split assignment and all of its pieces, if a piece with this key is being written and the
   * key is not the assignment's own; otherwise undefined.
   */
  get(key: string): { source: Assignment; pieces: AssignmentPiece[] } | undefined {
    return this.byKey.get(key);
  }
}
