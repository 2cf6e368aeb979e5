/** One arm of the bandit: the ridge regression of the payoffs on one machine type. */

import { Matrix } from 'ml-matrix';
import { MAX_ARM_CELL, STORED_DIGITS_PER_TASK } from '../../constants/scheduling.js';
import type { ArmRecord } from './arm-records.js';
import { restoreDesign } from './design-matrix.js';

/** The matrix A and the vector b of an arm, as they are stored. */
type ArmCells = Pick<ArmRecord, 'a' | 'b'>;

/** An arm that was read from its record. */
interface RestoredArm {
  readonly arm: Arm;
  /** Whether the stored matrix A was invalid and was replaced by a valid one close to it. */
  readonly isRepaired: boolean;
}

/** Most significant digits that a number has. */
const MAX_SIGNIFICANT_DIGITS = 17;

/**
 * Returns a function that rounds the cells of A and b for storage. Both are sums over tasks, so the
 * digits grow with the number of tasks. The error then stays a small fraction of what one task
 * contributes, and of the identity in A, without which A could not be inverted.
 */
function storageRounding(design: Matrix): (value: number) => number {
  const taskCount = Math.max(1, ...design.diagonal());
  const digits = STORED_DIGITS_PER_TASK + Math.floor(Math.log10(taskCount));
  return (value) => Number(value.toPrecision(Math.min(digits, MAX_SIGNIFICANT_DIGITS)));
}

/** State of the ridge regression for one machine type: A, its inverse, and b. */
export class Arm {
  private constructor(
    /** A: the identity matrix plus the outer products of all contexts. */
    private readonly design: Matrix,
    private readonly designInverse: Matrix,
    /** b: the sum of all contexts, weighted by their payoffs. */
    private readonly response: Matrix,
  ) {}

  /** Creates an arm that has learned nothing, for contexts with `size` entries. */
  static create(size: number): Arm {
    return new Arm(Matrix.eye(size), Matrix.eye(size), Matrix.zeros(size, 1));
  }

  /** Reads an arm for contexts with `size` entries; null: the cells are not those of an arm. */
  static restore(size: number, { a, b }: ArmCells): RestoredArm | null {
    const isIndex = (index: number): boolean => index < size;
    const isCell = (value: number): boolean => Math.abs(value) <= MAX_ARM_CELL;
    const areValid =
      a.every(([row, column, value]) => isIndex(row) && isIndex(column) && isCell(value)) &&
      b.every(([row, value]) => isIndex(row) && isCell(value));
    if (!areValid) return null;
    const stored = Matrix.zeros(size, size);
    for (const [row, column, value] of a) {
      stored.set(row, column, value);
      stored.set(column, row, value);
    }
    const response = Matrix.zeros(size, 1);
    for (const [row, value] of b) response.set(row, 0, value);
    const { design, inverse, isRepaired } = restoreDesign(stored);
    return { arm: new Arm(design, inverse, response), isRepaired };
  }

  /** The upper confidence bound of the payoff in a context; `alpha`: weight of the uncertainty. */
  score(context: number[], alpha: number): number {
    const vector = Matrix.columnVector(context);
    const product = this.designInverse.mmul(vector);
    const mean = product.dot(this.response);
    return mean + alpha * Math.sqrt(Math.max(0, vector.dot(product)));
  }

  /** Learns a payoff. */
  learn(context: number[], payoff: number): void {
    const vector = Matrix.columnVector(context);
    this.design.add(vector.mmul(vector.transpose()));
    this.response.add(Matrix.mul(vector, payoff));
    // Sherman–Morrison formula: updates the inverse for the added x·xᵀ without a new inversion.
    const product = this.designInverse.mmul(vector);
    this.designInverse.sub(product.mmul(product.transpose()).div(1 + vector.dot(product)));
  }

  /** The cells that are not zero, rounded for storage. */
  cells(): ArmCells {
    const round = storageRounding(this.design);
    const cells: ArmCells = { a: [], b: [] };
    for (let row = 0; row < this.design.rows; row++) {
      for (let column = 0; column <= row; column++) {
        const cell = this.design.get(row, column);
        if (cell !== 0) cells.a.push([row, column, round(cell)]);
      }
      const entry = this.response.get(row, 0);
      if (entry !== 0) cells.b.push([row, round(entry)]);
    }
    return cells;
  }
}
