/** The clock of simulated time. */

// Imported in advance, because the shard imports this module lazily. An import during a simulation
// takes real time, which would make simulated runs differ.
import '../../src/coordination/scheduling/bandit.js';
import type { Clock } from '../../src/transport/clock.js';

interface Event {
  at: number;
  run: () => void;
  cancelled: boolean;
}

/** Simulated time: events run in the order of their times, and all promises settle in between. */
export class SimClock implements Clock {
  /** From the latest to the next event; of events with the same time, the last created is first. */
  private readonly events: Event[] = [];
  private time = 0;

  now(): number {
    return this.time;
  }

  wall(): number {
    return 1_700_000_000_000 + this.time;
  }

  after(delayMs: number, callback: () => void): () => void {
    const event: Event = {
      at: this.time + Math.max(0, delayMs),
      run: callback,
      cancelled: false,
    };
    this.events.splice(this.insertionIndex(event.at), 0, event);
    return () => {
      event.cancelled = true;
    };
  }

  /** Returns the index at which an event is inserted: before all events that are not later. */
  private insertionIndex(at: number): number {
    let low = 0;
    let high = this.events.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((this.events[middle]?.at ?? 0) > at) low = middle + 1;
      else high = middle;
    }
    return low;
  }

  async run(untilMs: number): Promise<void> {
    for (;;) {
      await new Promise((resolve) => setImmediate(resolve));
      while (this.events.at(-1)?.cancelled) this.events.pop();
      const next = this.events.at(-1);
      if (!next || next.at > untilMs) break;
      this.events.pop();
      this.time = Math.max(this.time, next.at);
      next.run();
    }
    this.time = untilMs;
  }
}
