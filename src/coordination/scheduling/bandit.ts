/** A contextual bandit that learns which machine types suit which classes of tasks. */

import { Matrix, inverse } from 'ml-matrix';
import { bytesOf } from '../../storage/committer.js';
import { MAX_TASK_CLASSES } from '../../constants/scheduling.js';

/** What one arm has learned: A and b of ridge regression, with A's inverse kept beside it. */
interface Arm {
  /** A: the identity and the outer products of all contexts. */
  design: Matrix;
  inverted: Matrix;
  /** b: the contexts weighted by their payoffs. */
  response: Matrix;
}

type Cells = [row: number, column: number, value: number][];
type Sums = [row: number, value: number][];

/**
 * An arm as it is kept in the state service: A's lower triangle without zeros, and b. What one value
 * can't hold is in further records, whose fields here are empty: the version before reads those too
 * and passes over what has other types than its own. The main record alone is a valid arm.
 */
export interface ArmRecord {
  classes: string[];
  types: string[];
  a: Cells;
  b: Sums;
  /** Ties the records of one snapshot together; none: this record is all. */
  stamp?: number;
  /** In the main record: how many further ones there are. */
  further?: number;
  /** In further records: what is to be added to the main one. */
  moreClasses?: string[];
  moreA?: Cells;
  moreB?: Sums;
}

/** Stands for the number of further records while it is not known: the widest there may be. */
const FURTHER_MOST = 9999;

const roundForStorage = (value: number): number => Number(value.toPrecision(5));

/**
 * LinUCB over machine types, as the design says: context = class one-hot (the classes past the cap
 * share one), each type's share of queued and running tasks, type one-hot. One A and b per type.
 */
export class Bandit {
  private readonly arms = new Map<string, Arm>();
  private readonly classes: string[] = [];
  private worst = new Map<number, number>();

  constructor(
    private readonly types: readonly string[],
    private readonly alpha: number,
    private readonly penalty: number,
  ) {}

  private get size(): number {
    return MAX_TASK_CLASSES + 1 + 2 * this.types.length;
  }

  private classAt(name: string): number {
    const known = this.classes.indexOf(name);
    if (known >= 0) return known;
    if (this.classes.length >= MAX_TASK_CLASSES) return MAX_TASK_CLASSES;
    return this.classes.push(name) - 1;
  }

  private arm(type: string): Arm {
    let arm = this.arms.get(type);
    if (!arm) {
      arm = {
        design: Matrix.eye(this.size),
        inverted: Matrix.eye(this.size),
        response: Matrix.zeros(this.size, 1),
      };
      this.arms.set(type, arm);
    }
    return arm;
  }

  /** The context of giving a task of this class to this type, as a plain vector. */
  context(taskClass: string, type: string, load: ReadonlyMap<string, number>): number[] {
    const vector = new Array<number>(this.size).fill(0);
    vector[this.classAt(taskClass)] = 1;
    let total = 0;
    for (const count of load.values()) total += count;
    this.types.forEach((name, at) => {
      vector[MAX_TASK_CLASSES + 1 + at] = total === 0 ? 0 : (load.get(name) ?? 0) / total;
      if (name === type) vector[MAX_TASK_CLASSES + 1 + this.types.length + at] = 1;
    });
    return vector;
  }

  /** The upper confidence bound of an arm's payoff in a context: the greater, the better. */
  score(type: string, context: number[]): number {
    const { inverted, response } = this.arm(type);
    const vector = Matrix.columnVector(context);
    const half = inverted.mmul(vector);
    const mean = half.dot(response);
    return mean + this.alpha * Math.sqrt(Math.max(0, vector.dot(half)));
  }

  /** A finish: its payoff is minus what its run cost. */
  finished(type: string, context: number[], cost: number): void {
    const at = context.indexOf(1);
    this.worst.set(at, Math.max(this.worst.get(at) ?? 0, cost));
    this.learn(type, context, -cost);
  }

  /** A failure costs a multiple of the class's worst cost. */
  failed(type: string, context: number[]): void {
    const worst = this.worst.get(context.indexOf(1)) ?? 0;
    this.learn(type, context, -this.penalty * worst);
  }

  private learn(type: string, context: number[], payoff: number): void {
    const arm = this.arm(type);
    const vector = Matrix.columnVector(context);
    arm.design.add(vector.mmul(vector.transpose()));
    arm.response.add(Matrix.mul(vector, payoff));
    // Sherman and Morrison: the inverse after adding x·xᵀ, without inverting anew.
    const half = arm.inverted.mmul(vector);
    arm.inverted.sub(half.mmul(half.transpose()).div(1 + vector.dot(half)));
  }

  /**
   * An arm in records of so many bytes of JSON each, the main one first; none: nothing was learned,
   * or not even A's diagonal fits.
   */
  records(type: string, maxBytes: number, stamp: number): ArmRecord[] {
    const arm = this.arms.get(type);
    if (!arm) return [];
    const record: ArmRecord = { classes: [...this.classes], types: [...this.types], a: [], b: [] };
    for (let row = 0; row < this.size; row++) {
      for (let column = 0; column <= row; column++) {
        const value = arm.design.get(row, column);
        if (value !== 0) record.a.push([row, column, roundForStorage(value)]);
      }
      const value = arm.response.get(row, 0);
      if (value !== 0) record.b.push([row, roundForStorage(value)]);
    }
    if (bytesOf(record) <= maxBytes) return [record];
    const main = this.mainOf(record, maxBytes, stamp);
    if (!main) return [];
    const known = main.classes.length;
    const later = (row: number): boolean => row >= known && row < this.classes.length;
    const rest = {
      moreClasses: record.classes.slice(known),
      moreA: record.a.filter(([row, column]) => row !== column || later(row)),
      moreB: record.b.filter(([row]) => later(row)),
    };
    const further = furtherOf(rest, maxBytes, stamp);
    return [{ ...main, further: further.length }, ...further];
  }

  /** Diagonal and b, of as many classes as fit; for the others the diagonal of a new arm. */
  private mainOf(record: ArmRecord, maxBytes: number, stamp: number): ArmRecord | null {
    for (let known = record.classes.length; known >= 0; known--) {
      const later = (row: number): boolean => row >= known && row < record.classes.length;
      const main: ArmRecord = {
        classes: record.classes.slice(0, known),
        types: record.types,
        a: record.a
          .filter(([row, column]) => row === column)
          .map(([row, column, value]) => [row, column, later(row) ? 1 : value]),
        b: record.b.filter(([row]) => !later(row)),
        stamp,
        further: FURTHER_MOST,
      };
      if (bytesOf(main) <= maxBytes) return main;
    }
    return null;
  }

  /** `further`: the record with this number beside the main one. */
  restore(
    type: string,
    main: ArmRecord,
    further: (at: number) => ArmRecord | undefined = () => undefined,
  ): void {
    if (main.types.join() !== this.types.join()) return;
    const record = whole(main, further);
    // Arms are written at different times: one may know more classes than another.
    const both = Math.min(this.classes.length, record.classes.length);
    if (this.classes.slice(0, both).join() !== record.classes.slice(0, both).join()) return;
    this.classes.push(...record.classes.slice(both, MAX_TASK_CLASSES));
    const design = Matrix.zeros(this.size, this.size);
    for (const [row, column, value] of record.a) {
      design.set(row, column, value);
      design.set(column, row, value);
    }
    const response = Matrix.zeros(this.size, 1);
    for (const [row, value] of record.b) response.set(row, 0, value);
    this.arms.set(type, { design, inverted: inverse(design), response });
  }
}

/** Cuts what is left of an arm into records of so many bytes. */
function furtherOf(
  rest: { moreClasses: string[]; moreA: Cells; moreB: Sums },
  maxBytes: number,
  stamp: number,
): ArmRecord[] {
  const empty = (): ArmRecord & Required<Pick<ArmRecord, keyof typeof rest>> => ({
    classes: [],
    types: [],
    a: [],
    b: [],
    stamp,
    moreClasses: [],
    moreA: [],
    moreB: [],
  });
  const records = [empty()];
  let bytes = bytesOf(empty());
  const free = (item: unknown): ReturnType<typeof empty> => {
    const size = bytesOf(item) + 1;
    let record = records[records.length - 1] ?? empty();
    if (bytes + size > maxBytes) {
      records.push((record = empty()));
      bytes = bytesOf(record);
    }
    bytes += size;
    return record;
  };
  for (const one of rest.moreClasses) free(one).moreClasses.push(one);
  for (const one of rest.moreB) free(one).moreB.push(one);
  for (const one of rest.moreA) free(one).moreA.push(one);
  return records;
}

/** All records of one snapshot together; the main one alone where another is missing or newer. */
function whole(main: ArmRecord, further: (at: number) => ArmRecord | undefined): ArmRecord {
  if (main.stamp === undefined || main.further === undefined) return main;
  const record = { ...main, classes: [...main.classes], a: [...main.a], b: [...main.b] };
  for (let at = 1; at <= main.further; at++) {
    const more = further(at);
    if (more?.stamp !== main.stamp) return main;
    record.classes.push(...(more.moreClasses ?? []));
    // Later cells take the place of earlier ones: those that the main record had of a new arm.
    record.a.push(...(more.moreA ?? []));
    record.b.push(...(more.moreB ?? []));
  }
  return record;
}
