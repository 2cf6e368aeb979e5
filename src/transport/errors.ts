/** The program's errors: each has a code and says what is known of the failed operation's outcome. */

/**
 * `notExecuted`: it had no effect and never will have one. `unknown`: it may have had one, or may
 * still have one later.
 */
export type Outcome = 'notExecuted' | 'unknown';

/** The base of all errors that the program throws. */
export abstract class MothbankError extends Error {
  /** Tells kinds of errors apart without their text. */
  abstract readonly code: string;
  abstract readonly outcome: Outcome;
}

/** No response came: the request may have been executed, or may still be. */
export class OutcomeUnknownError extends MothbankError {
  readonly code = 'OUTCOME_UNKNOWN';
  readonly outcome = 'unknown';

  constructor(reason: string, options?: ErrorOptions) {
    super(reason, options);
    this.name = 'OutcomeUnknownError';
  }
}

/** A peer sent a frame longer than frames may be: its connection is closed. */
export class FrameTooLongError extends MothbankError {
  readonly code = 'FRAME_TOO_LONG';
  readonly outcome = 'notExecuted';

  constructor() {
    super('frame too long');
    this.name = 'FrameTooLongError';
  }
}
