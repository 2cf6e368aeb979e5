/** Creates the records that assign tasks of a job to a shard. */
import { ASSIGNMENT_BASE_BYTES, ASSIGNMENT_TASK_BYTES } from '../../constants/leader.js';
import { VALUE_FILL_FRACTION } from '../../constants/storage.js';
import type { JobSpec } from '../../protocol/model.js';
import { assignmentKey } from '../../storage/keys.js';
import { writeRanges } from '../../storage/ranges.js';
import type { AssignmentRecord } from '../../storage/records.js';
import type { ShardZone } from '../capacity/shard-zone.js';
import { TermNumbers } from '../election/term-numbers.js';

/** An assignment record that is not committed yet, with its key. */
export interface NewAssignment {
  readonly key: string;
  readonly value: AssignmentRecord;
}

/** Fields that only assignments of gangs have: the attempt, and the CPUs that the gang may reclaim. */
export type GangFields = Pick<AssignmentRecord, 'attempt' | 'reclaim'>;

/**
 * Size of each term's range of assignment numbers. The ranges do not overlap, so numbers are
 * unique.
 */
const NUMBERS_PER_TERM = 1e6;

/** Creates assignment records with unique numbers. */
export class AssignmentFactory {
  private readonly numbers: TermNumbers;
  private readonly tasksPerAssignment: number;

  constructor(term: number, valueBytes: number) {
    this.numbers = new TermNumbers(term * NUMBERS_PER_TERM, NUMBERS_PER_TERM);
    const bytes = valueBytes * VALUE_FILL_FRACTION - ASSIGNMENT_BASE_BYTES;
    this.tasksPerAssignment = Math.max(1, Math.floor(bytes / ASSIGNMENT_TASK_BYTES));
  }

  /**
   * Whether half of this term's assignment numbers are used, so that the leader should continue
   * under a new term.
   */
  get needsTermRenewal(): boolean {
    return this.numbers.isRunningOut;
  }

  /**
   * Returns records that assign these tasks to a shard zone, each small enough for one stored
   * value.
   */
  create(
    spec: JobSpec,
    shardZone: ShardZone,
    ids: readonly number[],
    gangFields: GangFields = {},
  ): NewAssignment[] {
    const assignments: NewAssignment[] = [];
    for (let start = 0; start < ids.length; start += this.tasksPerAssignment) {
      const number = this.numbers.next();
      assignments.push({
        key: assignmentKey(shardZone.shard, spec.id, number),
        value: {
          ids: writeRanges(ids.slice(start, start + this.tasksPerAssignment)),
          done: '',
          live: {},
          team: spec.team,
          cpus: spec.cpus,
          gpus: spec.gpus,
          memoryGb: spec.memoryGb,
          zone: shardZone.zone,
          ...gangFields,
        },
      });
    }
    return assignments;
  }
}
