/** Limits on how many asynchronous operations run at the same time. */

/** Calls `work` for each item, at most `limit` at a time; rejects with the first failure. */
export async function forEachLimited<Item>(
  items: readonly Item[],
  limit: number,
  work: (item: Item) => Promise<void>,
): Promise<void> {
  const remaining = [...items];
  const processRemaining = async (): Promise<void> => {
    for (let item = remaining.shift(); item !== undefined; item = remaining.shift()) {
      await work(item);
    }
  };
  const concurrency = Math.min(limit, items.length);
  await Promise.all(Array.from({ length: concurrency }, processRemaining));
}

/** Runs one operation at a time; a call while another operation runs is skipped. */
export class SingleFlight {
  private running = false;

  /** Whether an operation runs now. */
  get isRunning(): boolean {
    return this.running;
  }

  /**
   * Runs `work` and returns its result; undefined: it was skipped, since another call still runs.
   */
  async run<Result>(work: () => Promise<Result>): Promise<Result | undefined> {
    if (this.running) return undefined;
    this.running = true;
    try {
      return await work();
    } finally {
      this.running = false;
    }
  }
}
