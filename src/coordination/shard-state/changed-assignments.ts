/** The set of assignments that differ from their records in the key-value store. */
import type { Clock } from '../../transport/clock.js';
import type { Assignment } from './assignment.js';

/** The assignments that must be written, each with the time of its oldest unwritten change. */
export class ChangedAssignments {
  private readonly changed = new Set<Assignment>();

  constructor(private readonly clock: Clock) {}

  /** The changed assignments, in the order of their oldest unwritten changes. */
  get all(): ReadonlySet<Assignment> {
    return this.changed;
  }

  /** Adds an assignment that was changed after its last commit. */
  mark(assignment: Assignment): void {
    assignment.changedSince ??= this.clock.now();
    this.changed.add(assignment);
  }

  /** Removes an assignment that has no more changes to write. */
  clear(assignment: Assignment): void {
    assignment.changedSince = null;
    this.changed.delete(assignment);
  }
}
