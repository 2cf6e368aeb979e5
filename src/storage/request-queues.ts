/** Queues of requests that wait for the key-value store's rate limits, by purpose. */

import { CHECK_OVERDUE_MS } from '../constants/storage.js';

/** Purposes of requests in descending precedence. */
const PURPOSES_BY_PRECEDENCE = [
  'watch',
  'role',
  'urgent',
  'part',
  'leader',
  'status',
  'check',
  'cancel',
  'submit',
] as const;

/** Purpose of a request, which determines its precedence. */
export type Purpose = (typeof PURPOSES_BY_PRECEDENCE)[number];

/** A request that waits until the rate limits allow it. */
export interface WaitingRequest {
  /** Number of writes in its transaction; 0 for a read. */
  writes: number;
  /** Steady time in ms at which the request was queued. */
  waitingSince: number;
  proceed: () => void;
}

/** Waiting requests of one purpose, oldest first. */
export interface RequestQueue {
  purpose: Purpose;
  requests: WaitingRequest[];
}

/**
 * The queues of one purpose. Reads have their own queue because the write limit does not apply to
 * reads.
 */
interface PurposeQueues {
  reads: RequestQueue;
  writes: RequestQueue;
}

/** The queues of requests that wait for the rate limits, for all purposes. */
export class RequestQueues {
  private readonly byPurpose = new Map<Purpose, PurposeQueues>(
    PURPOSES_BY_PRECEDENCE.map((purpose) => [
      purpose,
      { reads: { purpose, requests: [] }, writes: { purpose, requests: [] } },
    ]),
  );

  push(purpose: Purpose, request: WaitingRequest): void {
    const queues = this.byPurpose.get(purpose);
    (request.writes > 0 ? queues?.writes : queues?.reads)?.requests.push(request);
  }

  /**
   * Returns the queues in the order in which they are served, which is that of their purposes.
   * Reads for users' job checks come first if the oldest has waited longer than `CHECK_OVERDUE_MS`,
   * because other requests can use up the request limit until the users' polls have timed out.
   */
  inOrder(now: number): RequestQueue[] {
    const queues: RequestQueue[] = [];
    const checks = this.byPurpose.get('check')?.reads;
    const [oldestCheck] = checks?.requests ?? [];
    const isOverdue = oldestCheck && now - oldestCheck.waitingSince > CHECK_OVERDUE_MS;
    if (checks && isOverdue) queues.push(checks);
    for (const { reads, writes } of this.byPurpose.values()) queues.push(reads, writes);
    return queues;
  }
}
