/** The program's errors, each with a code and with the outcome of the operation that failed. */

/**
 * The outcome of a failed operation. `notExecuted`: the operation has had no effect and will never
 * have one. `unknown`: it may have taken effect, or may still do so later.
 */
export type Outcome = 'notExecuted' | 'unknown';

/** Base class of all errors that the program throws. */
export abstract class MothbankError extends Error {
  /** Identifies the kind of error independently of its text. */
  abstract readonly code: string;
  abstract readonly outcome: Outcome;
}

/**
 * Thrown when a request got no valid response, so that it may have been or may still be executed.
 */
export class OutcomeUnknownError extends MothbankError {
  readonly code = 'OUTCOME_UNKNOWN';
  readonly outcome = 'unknown';

  constructor(reason: string, options?: ErrorOptions) {
    super(reason, options);
    this.name = 'OutcomeUnknownError';
  }
}

/** Thrown when the length prefix of a frame is malformed or above the limit. */
export class FrameTooLongError extends MothbankError {
  readonly code = 'FRAME_TOO_LONG';
  readonly outcome = 'notExecuted';

  constructor() {
    super('length prefix of a frame is malformed or above the limit');
    this.name = 'FrameTooLongError';
  }
}
