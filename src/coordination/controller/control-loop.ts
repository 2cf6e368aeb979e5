/** A loop that runs a function periodically, and shortly after it is woken. */
import {
  LOOP_COALESCE_MS,
  LOOP_INTERVAL_MS,
  PAUSE_PER_CPU_TIME,
} from '../../constants/controller.js';
import type { Log } from '../../storage/log.js';
import type { Clock } from '../../transport/clock.js';

/** Options of a control loop. */
export interface ControlLoopOptions {
  /** Name of the loop in log messages. */
  readonly name: string;
  readonly clock: Clock;
  readonly log: Log;
  /** Runs one pass. If it rejects, the error is logged and the loop continues. */
  readonly reconcile: () => Promise<void>;
  /**
   * Returns the CPU time of the last pass in ms. A woken loop pauses in proportion to this time
   * before the next pass, and at least `LOOP_COALESCE_MS`.
   */
  readonly lastCycleCpuMs?: () => number;
  /** Returns the ms between two passes while nothing wakes the loop. Default: `LOOP_INTERVAL_MS`. */
  readonly intervalMs?: () => number;
}

/** A periodic loop; its passes never overlap. */
export class ControlLoop {
  private cancelTimer: (() => void) | null = null;
  private isRunning = false;
  private isStopped = false;
  /** Whether the loop was woken after the last pass began. */
  private hasPendingWake = false;
  /** Whether the next pass is scheduled because the loop was woken, not by the interval. */
  private isScheduledSoon = false;

  constructor(private readonly options: ControlLoopOptions) {}

  /** Schedules the next pass after a delay, in place of the pass that was scheduled before. */
  schedule(delayMs: number): void {
    this.cancelTimer?.();
    this.cancelTimer = this.options.clock.after(delayMs, () => void this.run());
  }

  /** Schedules a pass after a short delay; wake-ups within the delay share this pass. */
  wake(): void {
    this.hasPendingWake = true;
    if (this.isRunning || this.isScheduledSoon || this.isStopped) return;
    this.isScheduledSoon = true;
    this.schedule(this.coalesceMs());
  }

  /** Starts no further pass; a running pass is completed. */
  stop(): void {
    this.isStopped = true;
  }

  private coalesceMs(): number {
    const costMs = this.options.lastCycleCpuMs?.() ?? 0;
    return Math.max(LOOP_COALESCE_MS, costMs * PAUSE_PER_CPU_TIME);
  }

  private async run(): Promise<void> {
    if (this.isStopped) return;
    this.cancelTimer?.();
    this.cancelTimer = null;
    this.isRunning = true;
    this.hasPendingWake = false;
    this.isScheduledSoon = false;
    const { intervalMs, log, name, reconcile } = this.options;
    try {
      await reconcile();
    } catch (error) {
      log.error({ loop: name, error: String((error as Error).stack ?? error) }, 'reconcile failed');
    }
    this.isRunning = false;
    this.isScheduledSoon = this.hasPendingWake;
    this.schedule(this.hasPendingWake ? this.coalesceMs() : (intervalMs?.() ?? LOOP_INTERVAL_MS));
  }
}
