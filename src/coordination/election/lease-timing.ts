/** How long a holder may act, and how long a new holder waits for the former one. */

import {
  CANCEL_MARGIN_S,
  CANCEL_MARGIN_SHARE,
  LEASE_MARGIN_MS,
  FORMER_HOLDER_GONE_MS,
} from '../../constants/election.js';
import { CLOCK_DRIFT } from '../../constants/protocol.js';
import type { RoleRecord } from '../../storage/records.js';

/** The deployment's time bounds that exclusive ownership rests on. */
export interface LeaseTiming {
  leaseS: number;
  cancelS: number;
  skewMs: number;
}

/**
 * ms for which a shard's owner may answer heartbeats after its replica was last known to be current.
 * A worker that it answered last keeps its tasks for one more lease, and both together must end
 * before a cancellation is due that the owner has not learned of.
 */
export function graceMs(timing: LeaseTiming): number {
  const slackS = Math.max(0, timing.cancelS - timing.leaseS * (1 + CLOCK_DRIFT));
  // Where the deployment leaves little between the two, the margin must not consume the grace: an
  // owner whose grace is shorter than one watch would never answer a heartbeat.
  return (slackS - Math.min(CANCEL_MARGIN_S, slackS * CANCEL_MARGIN_SHARE)) * 1000;
}

/** The longest time in ms that a worker's tasks outlive its last answered heartbeat. */
export function workerLeaseMs(timing: LeaseTiming): number {
  return timing.leaseS * 1000 * (1 + CLOCK_DRIFT) + LEASE_MARGIN_MS;
}

/** Steady times of this process that bound how long answers under earlier terms went on. */
export interface TenureTimes {
  /** When this process started or, where it held the role before, when that earlier term ended. */
  readonly startedAt: number;
  /** When this process first saw that it holds the role. */
  readonly seenAt: number;
}

/**
 * The steady time from which no machine has tasks left that has not sent its shard's new owner a
 * heartbeat. The time of day in the claim is no proof of when it took effect: in an outage a claim
 * may be executed long after it was made. `wall`: the time of day in ms.
 */
export function fenceEndsAt(
  record: RoleRecord,
  self: TenureTimes,
  wall: number,
  timing: LeaseTiming,
): number {
  // An earlier process of this member ended before this one started, and its answers with it.
  const ownAnswersEndAt = self.startedAt + workerLeaseMs(timing);
  if (record.movedAt === 0 || wall - record.movedAt > FORMER_HOLDER_GONE_MS) return ownAnswersEndAt;
  // Another holder answered at the latest a full grace after it sent the last watch that did not show
  // the claim. That was before the claim was executed, which was before this process saw it.
  return Math.max(ownAnswersEndAt, self.seenAt + graceMs(timing) + workerLeaseMs(timing));
}
