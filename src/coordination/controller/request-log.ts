/** Logs periodically how this node uses the state service. */
import { USE_LOG_MS } from '../../constants/controller.js';
import type { Log } from '../../storage/log.js';
import type { RateLimiter } from '../../storage/rate-limiter.js';
import type { Clock } from '../../transport/clock.js';
import type { UserRequests } from '../api/user-requests.js';

/** What the log reads. */
export interface RequestLogOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly limiter: RateLimiter;
  readonly userRequests: UserRequests;
}

/** The periodic log of requests to the state service, by purpose. */
export class RequestLog {
  private loggedAt = -Infinity;

  constructor(private readonly options: RequestLogOptions) {}

  /** Writes a log message if the last one is old enough. */
  writeIfDue(): void {
    const { clock, limiter, log, userRequests } = this.options;
    const now = clock.now();
    if (now - this.loggedAt < USE_LOG_MS) return;
    this.loggedAt = now;
    const { acquiredCounts, refusals } = limiter;
    const submissions = Object.fromEntries(userRequests.answers);
    log.info(
      { ...Object.fromEntries(acquiredCounts), refusals, submissions },
      'requests to the state service',
    );
  }
}
