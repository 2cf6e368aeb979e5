/** Runs one kind of work periodically, and soon after it is woken. */
import {
  LOOP_COALESCE_MS,
  LOOP_INTERVAL_MS,
  REST_PER_CPU_TIME,
} from '../../constants/controller.js';
import type { Log } from '../../storage/log.js';
import type { Clock } from '../../transport/clock.js';

/** What a loop runs, and how often. */
export interface ControlLoopOptions {
  /** Names the loop in log messages. */
  readonly name: string;
  readonly clock: Clock;
  readonly log: Log;
  /** One pass; when it fails, the failure is logged and the loop goes on. */
  readonly reconcile: () => Promise<void>;
  /** CPU time of the last pass in ms: the pause before the next leaves most of it to heartbeats. */
  readonly lastCycleCpuMs?: () => number;
  /** ms between two passes when nothing wakes the loop. */
  readonly intervalMs?: () => number;
}

/** A periodic loop; its passes never overlap. */
export class ControlLoop {
  private cancelTimer: (() => void) | null = null;
  private isRunning = false;
  private isStopped = false;
  /** Woken since the last pass began. */
  private hasPendingWake = false;
  /** The next pass is scheduled after the coalescing delay already. */
  private isScheduledSoon = false;

  constructor(private readonly options: ControlLoopOptions) {}

  /** Runs the next pass after a delay, in place of what was scheduled. */
  schedule(delayMs: number): void {
    this.cancelTimer?.();
    this.cancelTimer = this.options.clock.after(delayMs, () => void this.run());
  }

  /** Runs a pass soon; changes that follow one another closely share one. */
  wake(): void {
    this.hasPendingWake = true;
    if (this.isRunning || this.isScheduledSoon || this.isStopped) return;
    this.isScheduledSoon = true;
    this.schedule(this.coalesceMs());
  }

  /** Begins no further pass. */
  stop(): void {
    this.isStopped = true;
  }

  private coalesceMs(): number {
    const costMs = this.options.lastCycleCpuMs?.() ?? 0;
    return Math.max(LOOP_COALESCE_MS, costMs * REST_PER_CPU_TIME);
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
