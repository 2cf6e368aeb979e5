/**
 * Derives a machine's health and lease expiry from the times of its heartbeats and their answers.
 */
import { LEASE_MARGIN_MS } from '../../constants/election.js';
import { MAX_CLOCK_DRIFT_FRACTION } from '../../constants/protocol.js';
import { FAULTY_MACHINE_FAILED_JOBS, MAX_MISSED_HEARTBEATS } from '../../constants/shard.js';
import type { MachineHealth } from '../../storage/records.js';
import type { Machine } from './machine.js';

/** The times of workers and of the shard's former holders that lease expiries depend on. */
export interface LeaseTimes {
  /**
   * Steady time at which the leases granted by former holders have expired, so that a machine
   * without an answer from this holder has no tasks left.
   */
  fenceAt: number;
  leaseS: number;
  heartbeatIntervalS: number;
}

/**
 * A machine's health as it is stored in the shard's status records. It is `faulty` once tasks of
 * `FAULTY_MACHINE_FAILED_JOBS` jobs have failed there since its last success. It is `silent` if for
 * `MAX_MISSED_HEARTBEATS` intervals the worker sent no heartbeat on its own, or no heartbeat
 * acknowledged the machine.
 */
export function machineHealth(machine: Machine, times: LeaseTimes, now: number): MachineHealth {
  if (machine.isLeaving) return 'leaving';
  if (machine.failedJobs.size >= FAULTY_MACHINE_FAILED_JOBS) return 'faulty';
  // A machine that answers direct calls, but whose heartbeats don't arrive, is silent too. Direct
  // calls renew no lease, so it loses all of its tasks, including those that direct calls start
  // there.
  const silentMs = now - Math.min(machine.acknowledgedAt, machine.heartbeatAt);
  const maxSilentMs = times.heartbeatIntervalS * 1000 * MAX_MISSED_HEARTBEATS;
  return silentMs > maxSilentMs ? 'silent' : 'ok';
}

/**
 * The steady time from which no task can be left on a machine; `machine` is undefined if the shard
 * has no entry for it.
 */
export function leaseExpiry(machine: Machine | undefined, times: LeaseTimes): number {
  if (!machine) return times.fenceAt;
  const leaseMs = times.leaseS * 1000 * (1 + MAX_CLOCK_DRIFT_FRACTION) + LEASE_MARGIN_MS;
  const currentLeaseExpiry = machine.answeredAt + leaseMs;
  // A former holder's answer may have renewed the lease as well, until the machine shows a token
  // that this holder issued.
  return machine.hasShownTokenOfEntry
    ? currentLeaseExpiry
    : Math.max(currentLeaseExpiry, times.fenceAt);
}
