import { Matrix, inverse } from 'ml-matrix';
import { CLASS_CAP } from '../constants.js';

/** What one arm has learned: A and b of ridge regression, with A's inverse kept beside it. */
interface Arm {
  a: Matrix;
  inverted: Matrix;
  b: Matrix;
}

/** An arm as it is kept in the state service: A's lower triangle without zeros, and b. */
export interface ArmRecord {
  classes: string[];
  types: string[];
  a: [row: number, column: number, value: number][];
  b: [row: number, value: number][];
}

const round = (value: number): number => Number(value.toPrecision(5));

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
    return CLASS_CAP + 1 + 2 * this.types.length;
  }

  private classAt(name: string): number {
    const known = this.classes.indexOf(name);
    if (known >= 0) return known;
    if (this.classes.length >= CLASS_CAP) return CLASS_CAP;
    return this.classes.push(name) - 1;
  }

  private arm(type: string): Arm {
    let arm = this.arms.get(type);
    if (!arm) {
      arm = {
        a: Matrix.eye(this.size),
        inverted: Matrix.eye(this.size),
        b: Matrix.zeros(this.size, 1),
      };
      this.arms.set(type, arm);
    }
    return arm;
  }

  /** The context of giving a task of this class to this type, as a plain vector. */
  context(taskClass: string, type: string, load: ReadonlyMap<string, number>): number[] {
    const x = new Array<number>(this.size).fill(0);
    x[this.classAt(taskClass)] = 1;
    let total = 0;
    for (const count of load.values()) total += count;
    this.types.forEach((name, at) => {
      x[CLASS_CAP + 1 + at] = total === 0 ? 0 : (load.get(name) ?? 0) / total;
      if (name === type) x[CLASS_CAP + 1 + this.types.length + at] = 1;
    });
    return x;
  }

  score(type: string, context: number[]): number {
    const { inverted, b } = this.arm(type);
    const x = Matrix.columnVector(context);
    const half = inverted.mmul(x);
    const mean = half.dot(b);
    return mean + this.alpha * Math.sqrt(Math.max(0, x.dot(half)));
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
    const x = Matrix.columnVector(context);
    arm.a.add(x.mmul(x.transpose()));
    arm.b.add(Matrix.mul(x, payoff));
    // Sherman and Morrison: the inverse after adding x·xᵀ, without inverting anew.
    const half = arm.inverted.mmul(x);
    arm.inverted.sub(half.mmul(half.transpose()).div(1 + x.dot(half)));
  }

  /** Capped: what does not fit into so many bytes of JSON is left out, off the diagonal first. */
  record(type: string, maxBytes: number): ArmRecord | null {
    const arm = this.arms.get(type);
    if (!arm) return null;
    const record: ArmRecord = { classes: [...this.classes], types: [...this.types], a: [], b: [] };
    for (let row = 0; row < this.size; row++) {
      for (let column = 0; column <= row; column++) {
        const value = arm.a.get(row, column);
        if (value !== 0) record.a.push([row, column, round(value)]);
      }
      const value = arm.b.get(row, 0);
      if (value !== 0) record.b.push([row, round(value)]);
    }
    if (JSON.stringify(record).length > maxBytes) {
      record.a = record.a.filter(([row, column]) => row === column);
    }
    return JSON.stringify(record).length > maxBytes ? null : record;
  }

  restore(type: string, record: ArmRecord): void {
    if (record.types.join() !== this.types.join()) return;
    // Arms are written at different times: one may know more classes than another.
    const both = Math.min(this.classes.length, record.classes.length);
    if (this.classes.slice(0, both).join() !== record.classes.slice(0, both).join()) return;
    this.classes.push(...record.classes.slice(both, CLASS_CAP));
    const a = Matrix.zeros(this.size, this.size);
    for (const [row, column, value] of record.a) {
      a.set(row, column, value);
      a.set(column, row, value);
    }
    const b = Matrix.zeros(this.size, 1);
    for (const [row, value] of record.b) b.set(row, 0, value);
    this.arms.set(type, { a, inverted: inverse(a), b });
  }
}
