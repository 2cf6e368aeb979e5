/** The assignments that differ from what the key-value store holds, and since when. */
import type { Clock } from '../../transport/clock.js';
import type { Assignment } from './assignment.js';

/** Collects the assignments that are to be written. */
export class ChangedAssignments {
  private readonly changed = new Set<Assignment>();

  constructor(private readonly clock: Clock) {}

  /** The changed assignments, in the order of their changes. */
  get all(): ReadonlySet<Assignment> {
    return this.changed;
  }

  /** Marks an assignment as changed since it was committed. */
  mark(assignment: Assignment): void {
    assignment.changedSince ??= this.clock.now();
    this.changed.add(assignment);
  }

  /** Marks an assignment as having no changes to be written. */
  clear(assignment: Assignment): void {
    assignment.changedSince = null;
    this.changed.delete(assignment);
  }
}
