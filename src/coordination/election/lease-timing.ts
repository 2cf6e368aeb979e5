/** Computes how long a holder may act, and how long a new holder waits for the former one. */

import {
  CANCEL_MARGIN_S,
  CANCEL_MARGIN_MAX_FRACTION,
  LEASE_MARGIN_MS,
  FORMER_HOLDER_GONE_MS,
} from '../../constants/election.js';
import { MAX_CLOCK_DRIFT_FRACTION } from '../../constants/protocol.js';
import type { RoleRecord } from '../../storage/records.js';

/** Time bounds from the settings that ensure that a role has a single holder. */
export interface LeaseTiming {
  leaseS: number;
  cancelS: number;
  skewMs: number;
}

/**
 * Returns the grace: the time in ms for which a shard's holder may answer heartbeats after its
 * replica was last confirmed as current. A worker keeps its tasks for one more lease after its last
 * answered heartbeat. Grace and lease together must end before `cancel_s`, because the holder may
 * have missed a cancellation.
 */
export function graceMs(timing: LeaseTiming): number {
  const slackS = Math.max(0, timing.cancelS - timing.leaseS * (1 + MAX_CLOCK_DRIFT_FRACTION));
  // If lease and `cancel_s` are close together, the full margin would consume the grace, and a
  // holder whose grace is shorter than one watch would never answer a heartbeat.
  return (slackS - Math.min(CANCEL_MARGIN_S, slackS * CANCEL_MARGIN_MAX_FRACTION)) * 1000;
}

/**
 * Returns the maximum time in ms for which a worker runs tasks after its last answered heartbeat.
 */
export function workerLeaseMs(timing: LeaseTiming): number {
  return timing.leaseS * 1000 * (1 + MAX_CLOCK_DRIFT_FRACTION) + LEASE_MARGIN_MS;
}

/**
 * Steady times of this process that limit how long heartbeats were answered under earlier terms.
 */
export interface TenureTimes {
  /** Start of this process, or the end of its earlier term if it held the role before; in ms. */
  readonly startedAt: number;
  /** Time at which this process first saw that it holds the role, in ms. */
  readonly seenAt: number;
}

/**
 * Returns the steady time in ms after which a machine that has not sent its shard's new holder a
 * heartbeat has no tasks left. `movedAt` in the role's record does not show when the claim took
 * effect, because in an outage a claim may be executed long after it was made. `wall` is the
 * wall-clock time in ms.
 */
export function fenceEndsAt(
  record: RoleRecord,
  tenure: TenureTimes,
  wall: number,
  timing: LeaseTiming,
): number {
  // An earlier process of this member answered no heartbeat after this process started.
  const ownAnswersEndAt = tenure.startedAt + workerLeaseMs(timing);
  if (record.movedAt === 0 || wall - record.movedAt > FORMER_HOLDER_GONE_MS) return ownAnswersEndAt;
  // The former holder answered heartbeats at the latest one grace after it sent its last watch that
  // did not return the claim. It sent that watch before the claim was executed, and this process
  // saw the claim after that.
  return Math.max(ownAnswersEndAt, tenure.seenAt + graceMs(timing) + workerLeaseMs(timing));
}
