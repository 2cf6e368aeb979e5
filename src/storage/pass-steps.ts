/** Runs the steps of a periodic pass so that a step that fails does not prevent the others. */
import type { Log } from './log.js';

/** The steps of one kind of pass. An error in a step is logged, and the pass continues. */
export class PassSteps {
  /** `fields`: added to the log entry of each failed step. */
  constructor(
    private readonly log: Log,
    private readonly fields: object,
  ) {}

  /** Runs a step; returns whether it succeeded. */
  run(step: string, work: () => void): boolean {
    try {
      work();
      return true;
    } catch (error) {
      this.logFailure(step, error);
      return false;
    }
  }

  /** Runs an asynchronous step; returns whether it succeeded. */
  async runAsync(step: string, work: () => Promise<unknown>): Promise<boolean> {
    try {
      await work();
      return true;
    } catch (error) {
      this.logFailure(step, error);
      return false;
    }
  }

  private logFailure(step: string, error: unknown): void {
    const text = error instanceof Error ? (error.stack ?? String(error)) : String(error);
    this.log.error({ ...this.fields, step, error: text }, 'step failed');
  }
}
