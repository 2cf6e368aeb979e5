/** Requests that wait for the key-value store's rate limits, in the order in which they are served. */

import { CHECK_OVERDUE_MS } from '../constants/storage.js';

/** Purposes of requests in the order of their precedence. */
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

/** What a request is for. */
export type Purpose = (typeof PURPOSES_BY_PRECEDENCE)[number];

/** A request that waits for capacity. */
export interface WaitingRequest {
  /** Writes of its transaction; 0: it only reads. */
  writes: number;
  /** Steady time at which it came. */
  waitingSince: number;
  proceed: () => void;
}

/** The requests that wait under one purpose, in the order in which they came. */
export interface RequestQueue {
  purpose: Purpose;
  requests: WaitingRequest[];
}

/** Reads need no capacity for writes, so they are not queued behind them. */
interface PurposeQueues {
  reads: RequestQueue;
  writes: RequestQueue;
}

/** The queues of all purposes. */
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
   * The queues in the order in which they are served: by purpose, but users' checks that have waited
   * for long first. Decisions can use up all requests for longer than users go on asking.
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
