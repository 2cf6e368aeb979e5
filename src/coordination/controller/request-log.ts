/** Logs the numbers of this controller's requests to the key-value store periodically. */
import { REQUEST_LOG_INTERVAL_MS } from '../../constants/controller.js';
import type { Log } from '../../storage/log.js';
import type { RateLimiter } from '../../storage/rate-limiter.js';
import type { Clock } from '../../transport/clock.js';
import type { UserRequests } from '../api/user-requests.js';

/** Dependencies of the log. */
export interface RequestLogOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly limiter: RateLimiter;
  readonly userRequests: UserRequests;
}

/** Periodic log of the requests to the key-value store, counted by purpose. */
export class RequestLog {
  private lastLoggedAt = -Infinity;

  constructor(private readonly options: RequestLogOptions) {}

  /** Writes a log message if the last one is at least `REQUEST_LOG_INTERVAL_MS` old. */
  writeIfDue(): void {
    const { clock, limiter, log, userRequests } = this.options;
    const now = clock.now();
    if (now - this.lastLoggedAt < REQUEST_LOG_INTERVAL_MS) return;
    this.lastLoggedAt = now;
    const { acquiredCounts, refusals } = limiter;
    const submissions = Object.fromEntries(userRequests.submissionReplyCounts);
    log.info(
      { ...Object.fromEntries(acquiredCounts), refusals, submissions },
      'key-value store requests counted since start',
    );
  }
}
