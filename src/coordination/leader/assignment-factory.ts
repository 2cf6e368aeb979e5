/** Creates the records that assign tasks of a job to a shard. */
import { ASSIGNMENT_BASE_BYTES, ASSIGNMENT_TASK_BYTES } from '../../constants/leader.js';
import { VALUE_SHARE } from '../../constants/storage.js';
import type { JobSpec } from '../../protocol/model.js';
import { assignmentKey } from '../../storage/keys.js';
import { writeRanges } from '../../storage/ranges.js';
import type { AssignmentRecord } from '../../storage/records.js';
import type { ShardZone } from '../capacity/shard-zone.js';
import { TermNumbers } from '../election/term-numbers.js';

/** An assignment record that is not committed yet. */
export interface NewAssignment {
  readonly key: string;
  readonly value: AssignmentRecord;
}

/** Fields that only assignments of gangs have: the attempt, and what it may reclaim. */
export type GangFields = Pick<AssignmentRecord, 'attempt' | 'reclaim'>;

/** Assignment numbers of a term begin at a multiple of this: no two terms share a number. */
const NUMBERS_PER_TERM = 1e6;

/** Creates assignment records with unique numbers. */
export class AssignmentFactory {
  private readonly numbers: TermNumbers;
  private readonly tasksPerAssignment: number;

  constructor(term: number, valueBytes: number) {
    this.numbers = new TermNumbers(term * NUMBERS_PER_TERM, NUMBERS_PER_TERM);
    const bytes = valueBytes * VALUE_SHARE - ASSIGNMENT_BASE_BYTES;
    this.tasksPerAssignment = Math.max(1, Math.floor(bytes / ASSIGNMENT_TASK_BYTES));
  }

  /** The leader needs a new term before the assignment numbers of this one are used up. */
  get needsTermRenewal(): boolean {
    return this.numbers.isRunningOut;
  }

  /** Records that assign these tasks to a shard zone, each small enough for one value. */
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
