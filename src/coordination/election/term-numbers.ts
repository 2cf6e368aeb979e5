/** Numbers that one term of a role hands out, each once. */

import { MothbankError } from '../../transport/errors.js';

/** Share of a term's numbers after which the holder should continue under a new term. */
const TERM_RENEWAL_SHARE = 0.5;

/** Whether so many of a term's numbers are used that the holder needs a new term. */
export const isRunningOut = (used: number, size: number): boolean =>
  used >= size * TERM_RENEWAL_SHARE;

/** A term has no unused numbers left: its holder must continue under a new term. */
class TermExhaustedError extends MothbankError {
  readonly code = 'TERM_EXHAUSTED';
  readonly outcome = 'notExecuted';

  constructor() {
    super('the numbers of this term are used up');
    this.name = 'TermExhaustedError';
  }
}

/** A range of numbers that belongs to one term; numbers of other terms are never handed out. */
export class TermNumbers {
  private used = 0;

  /** `base`: the number before the first; `size`: how many there are. */
  constructor(
    private readonly base: number,
    private readonly size: number,
  ) {}

  /** The next number. Throws rather than hand out a number of another term. */
  next(): number {
    if (this.used + 1 >= this.size) throw new TermExhaustedError();
    this.used++;
    return this.base + this.used;
  }

  /** Whether the holder needs a new term: half of the numbers are left until it has one. */
  get isRunningOut(): boolean {
    return isRunningOut(this.used, this.size);
  }
}
