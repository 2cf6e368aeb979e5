/** The fencing tokens that a shard's holder issues in one term. */
import { FENCING_TOKENS_PER_TERM } from '../../constants/election.js';
import { isRunningOut } from '../election/term-numbers.js';
import type { Machine } from './machine.js';

/**
 * The fencing tokens of a shard's term. Each machine has its own token: the term's base plus the
 * machine's offset, which grows by 1 each time the token is raised. The machine's worker refuses
 * every command whose token is lower than the highest that it has received, and reports that
 * highest token in its heartbeats. Once the worker has received a raised token, it therefore
 * refuses all commands sent before. A heartbeat with the raised token proves that the machine has
 * received an answer or command that this holder sent after raising the token.
 */
export class FencingTokens {
  /** The lowest token of the term. */
  readonly base: number;
  /** The fencing offset that the next new machine's entry starts with. */
  private nextInitialOffset = 0;
  /** The highest offset that was issued to any machine in this term. */
  private highestOffset = 0;

  constructor(term: number) {
    this.base = term * FENCING_TOKENS_PER_TERM;
  }

  /**
   * Whether half of the term's tokens are used. The shard then needs a new term, before its tokens
   * reach those of the next term.
   */
  get isRunningOut(): boolean {
    return isRunningOut(this.highestOffset, FENCING_TOKENS_PER_TERM);
  }

  /**
   * The fencing offset that a new machine's entry starts with, above those of all removed entries.
   */
  get initialOffset(): number {
    return this.nextInitialOffset;
  }

  /** Whether a token belongs to a later term, so that this holder's term is over. */
  isOfLaterTerm(fencingToken: number): boolean {
    return fencingToken >= this.base + FENCING_TOKENS_PER_TERM;
  }

  /** The token that commands to a machine carry. */
  tokenOf(machine: Machine): number {
    return this.base + machine.fencingOffset;
  }

  /**
   * Raises a machine's token. All commands sent before are fenced as soon as the machine receives
   * the new token. Heartbeats with the previous token still acknowledge the machine, because there
   * is no sign that it missed an answer.
   */
  raise(machine: Machine): void {
    machine.fencingOffset++;
    machine.hasUnfencedStart = false;
    this.highestOffset = Math.max(this.highestOffset, machine.fencingOffset);
  }

  /**
   * Raises a machine's token, and makes the machine unacknowledged until one of its heartbeats
   * shows the raised token.
   */
  requireAcknowledgement(machine: Machine): void {
    this.raise(machine);
    machine.requiredFencingOffset = machine.fencingOffset;
    if (machine.isAcknowledged) machine.unacknowledgedAnswers = 0;
    machine.isAcknowledged = false;
  }

  /**
   * Retires the tokens of a machine whose entry is removed. Late duplicates of its heartbeats may
   * still arrive, and must not acknowledge an entry that is created for the machine later.
   */
  retire(machine: Machine): void {
    this.nextInitialOffset = Math.max(this.nextInitialOffset, machine.fencingOffset + 1);
    this.highestOffset = Math.max(this.highestOffset, this.nextInitialOffset);
  }
}
