/** The fencing tokens that a shard's holder gives out in one term. */
import { FENCING_TOKENS_PER_TERM } from '../../constants/election.js';
import { isRunningOut } from '../election/term-numbers.js';
import type { Machine } from './machine.js';

/**
 * The fencing tokens of a shard's term: the term's base and an offset for each machine. A worker
 * carries out no command whose token is lower than one that it has seen, and its heartbeats show the
 * highest token that it has seen. So a raised token fences everything sent before, and a heartbeat
 * that shows it proves that the machine hears this holder.
 */
export class FencingTokens {
  /** The lowest token of the term. */
  readonly base: number;
  /** New entries begin at this offset. */
  private nextInitialOffset = 0;
  /** The highest offset that any machine was given in this term. */
  private highestOffset = 0;

  constructor(term: number) {
    this.base = term * FENCING_TOKENS_PER_TERM;
  }

  /** Whether the shard needs a new term before its tokens reach those of the next one. */
  get isRunningOut(): boolean {
    return isRunningOut(this.highestOffset, FENCING_TOKENS_PER_TERM);
  }

  /** The offset at which the entry of a machine begins: above all of entries removed before. */
  get initialOffset(): number {
    return this.nextInitialOffset;
  }

  /** Whether a token belongs to a later term: the shard has another holder by then. */
  isOfLaterTerm(fencingToken: number): boolean {
    return fencingToken >= this.base + FENCING_TOKENS_PER_TERM;
  }

  /** The token that commands to a machine carry. */
  tokenOf(machine: Machine): number {
    return this.base + machine.fencingOffset;
  }

  /**
   * Raises a machine's token: all that was sent to it before is fenced as soon as the new token
   * reaches it. Lower tokens still prove that it hears us, since nothing has gone amiss.
   */
  raise(machine: Machine): void {
    machine.fencingOffset++;
    machine.hasUnfencedStart = false;
    this.highestOffset = Math.max(this.highestOffset, machine.fencingOffset);
  }

  /** From now on only a heartbeat that shows a token not given out yet proves that it hears us. */
  requireAcknowledgement(machine: Machine): void {
    this.raise(machine);
    machine.requiredFencingOffset = machine.fencingOffset;
    if (machine.isAcknowledged) machine.unacknowledgedAnswers = 0;
    machine.isAcknowledged = false;
  }

  /**
   * Retires the tokens of a machine whose entry is removed: late copies of its heartbeats may still
   * come, and an entry made anew must not take them for proof.
   */
  retire(machine: Machine): void {
    this.nextInitialOffset = Math.max(this.nextInitialOffset, machine.fencingOffset + 1);
    this.highestOffset = Math.max(this.highestOffset, this.nextInitialOffset);
  }
}
