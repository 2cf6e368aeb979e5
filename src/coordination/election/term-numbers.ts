/** Allocates numbers that belong to one term of a role, each of them once. */

import { MothbankError } from '../../transport/errors.js';

/** Fraction of a term's numbers after whose use the holder should continue under a new term. */
const TERM_RENEWAL_FRACTION = 0.5;

/**
 * Returns whether at least `TERM_RENEWAL_FRACTION` of the `size` numbers of a term are used, so
 * that the holder needs a new term.
 */
export const isRunningOut = (used: number, size: number): boolean =>
  used >= size * TERM_RENEWAL_FRACTION;

/** Error for a term that has no unused numbers left. */
class TermExhaustedError extends MothbankError {
  readonly code = 'TERM_EXHAUSTED';
  readonly outcome = 'notExecuted';

  constructor() {
    super('all numbers of this term are used up, the holder must continue under a new term');
    this.name = 'TermExhaustedError';
  }
}

/** A range of numbers that belongs to one term. */
export class TermNumbers {
  private used = 0;

  /** The range begins after `base` and ends before `base + size`. */
  constructor(
    private readonly base: number,
    private readonly size: number,
  ) {}

  /** Returns the next number. Throws an error if it would belong to another term. */
  next(): number {
    if (this.used + 1 >= this.size) throw new TermExhaustedError();
    this.used++;
    return this.base + this.used;
  }

  /** Whether half of the numbers are used; the other half lasts until the holder has a new term. */
  get isRunningOut(): boolean {
    return isRunningOut(this.used, this.size);
  }
}
