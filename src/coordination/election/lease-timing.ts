/** How long an owner may act, and how long a new owner waits for the one before. */

import {
  CANCEL_MARGIN_S,
  CANCEL_MARGIN_SHARE,
  LEASE_MARGIN_MS,
  FORMER_HOLDER_GONE_MS,
} from '../../constants/election.js';
import { CLOCK_DRIFT } from '../../constants/protocol.js';
import type { RoleRecord } from '../../storage/records.js';

/** The deployment's bounds that ownership rests on. */
export interface LeaseTiming {
  leaseS: number;
  cancelS: number;
  skewMs: number;
}

/**
 * How long an owner may answer workers after its replica was last known to be current. A worker that
 * it answered last keeps its tasks for one more lease, and both together must end before a
 * cancellation that the owner never heard of is due.
 */
export function graceMs(timing: LeaseTiming): number {
  const slackS = Math.max(0, timing.cancelS - timing.leaseS * (1 + CLOCK_DRIFT));
  // Where the deployment leaves little between the two, the margin must not eat up the grace: an
  // owner whose grace is shorter than its watch takes would never answer a worker.
  return (slackS - Math.min(CANCEL_MARGIN_S, slackS * CANCEL_MARGIN_SHARE)) * 1000;
}

/** The longest that a worker's tasks outlive its last answered report. */
export function workerLeaseMs(timing: LeaseTiming): number {
  return timing.leaseS * 1000 * (1 + CLOCK_DRIFT) + LEASE_MARGIN_MS;
}

/**
 * The steady time from which no machine that never spoke to a part's new owner has tasks left.
 * `seenAt`: when this process first saw that the role is its own. What the claim itself says of the
 * time is no proof, since a claim may be carried out long after it was made, in an outage or late.
 */
export function fenceEndsAt(
  record: RoleRecord,
  self: { startedAt: number; seenAt: number },
  wall: number,
  timing: LeaseTiming,
): number {
  // The process before this one ended before this one began, so its answers did too. Where this one
  // held the role itself, `startedAt` is when its earlier term ended.
  const ownAnswersEndAt = self.startedAt + workerLeaseMs(timing);
  if (record.movedAt === 0 || wall - record.movedAt > FORMER_HOLDER_GONE_MS) return ownAnswersEndAt;
  // Another node answered at the latest a full grace after its last watch that did not show the
  // claim, which was sent before the claim was carried out, which was before we saw it.
  return Math.max(ownAnswersEndAt, self.seenAt + graceMs(timing) + workerLeaseMs(timing));
}
