// Loaded ahead: the part imports it late, in real time, which would make simulated time vary.
import '../../src/coordination/bandit.js';
import type { Clock } from '../../src/transport/clock.js';

interface Event {
  at: number;
  order: number;
  run: () => void;
}

/** Simulated time: events run in order, and all promises settle between two of them. */
export class SimClock implements Clock {
  private events: Event[] = [];
  private order = 0;
  private time = 0;

  now(): number {
    return this.time;
  }

  wall(): number {
    return 1_700_000_000_000 + this.time;
  }

  after(delayMs: number, callback: () => void): () => void {
    const event = { at: this.time + Math.max(0, delayMs), order: this.order++, run: callback };
    this.events.push(event);
    return () => {
      this.events = this.events.filter((one) => one !== event);
    };
  }

  async run(untilMs: number): Promise<void> {
    for (;;) {
      await new Promise((resolve) => setImmediate(resolve));
      let next: Event | undefined;
      for (const event of this.events) {
        if (!next || event.at < next.at || (event.at === next.at && event.order < next.order)) {
          next = event;
        }
      }
      if (!next || next.at > untilMs) break;
      const chosen = next;
      this.events = this.events.filter((one) => one !== chosen);
      this.time = Math.max(this.time, chosen.at);
      chosen.run();
    }
    this.time = untilMs;
  }
}
