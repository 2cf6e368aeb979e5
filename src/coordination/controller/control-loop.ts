/** Runs one kind of work periodically, and soon after it is woken. */
import { LOOP_GATHER_MS, LOOP_MS, LOOP_REST } from '../../constants/controller.js';
import type { Log } from '../../storage/log.js';
import type { Clock } from '../../transport/clock.js';

/** What a loop runs, and how often. */
export interface ControlLoopOptions {
  /** Names the loop in log messages. */
  readonly name: string;
  readonly clock: Clock;
  readonly log: Log;
  /** One round; when it fails, the failure is logged and the loop goes on. */
  readonly reconcile: () => Promise<void>;
  /** Processor time of a round in ms: the pause before the next leaves most of it to reports. */
  readonly lastCycleCpuMs?: () => number;
  /** ms between two rounds when nothing wakes the loop. */
  readonly idleMs?: () => number;
}

/** A periodic loop; its rounds never overlap. */
export class ControlLoop {
  private cancelTimer: (() => void) | null = null;
  private running = false;
  private stopped = false;
  /** Woken since the last round began. */
  private woken = false;
  /** The next round is scheduled after the gathering delay already. */
  private scheduledSoon = false;

  constructor(private readonly options: ControlLoopOptions) {}

  /** Runs the next round after a delay, in place of what was scheduled. */
  schedule(delayMs: number): void {
    this.cancelTimer?.();
    this.cancelTimer = this.options.clock.after(delayMs, () => void this.run());
  }

  /** Runs a round soon; changes that follow one another closely share one. */
  wake(): void {
    this.woken = true;
    if (this.running || this.scheduledSoon || this.stopped) return;
    this.scheduledSoon = true;
    this.schedule(this.gatherMs());
  }

  /** Begins no further round. */
  stop(): void {
    this.stopped = true;
  }

  private gatherMs(): number {
    const costMs = this.options.lastCycleCpuMs?.() ?? 0;
    return Math.max(LOOP_GATHER_MS, costMs * LOOP_REST);
  }

  private async run(): Promise<void> {
    if (this.stopped) return;
    this.cancelTimer?.();
    this.cancelTimer = null;
    this.running = true;
    this.woken = false;
    this.scheduledSoon = false;
    const { idleMs, log, name, reconcile } = this.options;
    try {
      await reconcile();
    } catch (error) {
      log.error({ loop: name, error: String((error as Error).stack ?? error) }, 'round failed');
    }
    this.running = false;
    this.scheduledSoon = this.woken;
    this.schedule(this.woken ? this.gatherMs() : (idleMs?.() ?? LOOP_MS));
  }
}
