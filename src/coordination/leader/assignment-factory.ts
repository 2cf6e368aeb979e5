/** Creates the chunk records that assign tasks of a job to a part. */
import { ASSIGNMENT_BASE_BYTES, ASSIGNMENT_TASK_BYTES } from '../../constants/leader.js';
import { VALUE_SHARE } from '../../constants/storage.js';
import type { JobSpec } from '../../protocol/model.js';
import { assignmentKey } from '../../storage/keys.js';
import { writeRanges } from '../../storage/ranges.js';
import type { AssignmentRecord } from '../../storage/records.js';
import type { ShardZone } from '../capacity/shard-zone.js';
import { TermNumbers } from '../election/term-numbers.js';

/** A chunk record that is not committed yet. */
export interface NewAssignment {
  readonly key: string;
  readonly value: AssignmentRecord;
}

/** What a chunk of a gang says beyond that of an array: its attempt, and what it may reclaim. */
export type GangFields = Pick<AssignmentRecord, 'attempt' | 'reclaim'>;

/** Chunk numbers of one term begin at a multiple of this, so that no term repeats a number. */
const NUMBERS_PER_TERM = 1e6;

/** Creates chunk records with numbers that no other chunk has. */
export class AssignmentFactory {
  private readonly numbers: TermNumbers;
  private readonly tasksPerAssignment: number;

  constructor(term: number, valueBytes: number) {
    this.numbers = new TermNumbers(term * NUMBERS_PER_TERM, NUMBERS_PER_TERM);
    const bytes = valueBytes * VALUE_SHARE - ASSIGNMENT_BASE_BYTES;
    this.tasksPerAssignment = Math.max(1, Math.floor(bytes / ASSIGNMENT_TASK_BYTES));
  }

  /** The leader needs a new term before it has made all chunks that this one has numbers for. */
  get isRunningOut(): boolean {
    return this.numbers.isRunningOut;
  }

  /** Records that assign these tasks to a place, each small enough for one value. */
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
