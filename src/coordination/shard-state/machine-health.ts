/** Judges machines by the times of their heartbeats and answers: health, and lease expiry. */
import { LEASE_MARGIN_MS } from '../../constants/election.js';
import { CLOCK_DRIFT } from '../../constants/protocol.js';
import { FAULTY_MACHINE_FAILURES, MAX_MISSED_HEARTBEATS } from '../../constants/shard.js';
import type { MachineHealth } from '../../storage/records.js';
import type { Machine } from './machine.js';

/** The times of the workers and of the shard's former holders by which machines are judged. */
export interface LeaseTimes {
  /** Steady time from which no machine that never heard this holder has tasks left. */
  fenceAt: number;
  leaseS: number;
  heartbeatIntervalS: number;
}

/** A machine's health as the status record tells it to the other controllers. */
export function machineHealth(machine: Machine, times: LeaseTimes, now: number): MachineHealth {
  if (machine.isLeaving) return 'leaving';
  if (machine.failedJobs.size >= FAULTY_MACHINE_FAILURES) return 'faulty';
  // Answers to direct calls renew no lease: a machine whose heartbeats don't arrive loses its tasks,
  // and those that are started there by direct calls as well.
  const silentMs = now - Math.min(machine.acknowledgedAt, machine.heartbeatAt);
  const maxSilentMs = times.heartbeatIntervalS * 1000 * MAX_MISSED_HEARTBEATS;
  return silentMs > maxSilentMs ? 'silent' : 'ok';
}

/** The steady time from which no task can be left on a machine; undefined: a machine not known. */
export function leaseExpiry(machine: Machine | undefined, times: LeaseTimes): number {
  if (!machine) return times.fenceAt;
  const leaseMs = times.leaseS * 1000 * (1 + CLOCK_DRIFT) + LEASE_MARGIN_MS;
  const ourLeaseExpiry = machine.answeredAt + leaseMs;
  // Before it has shown our token, a former holder's answer may have renewed its lease as well.
  return machine.hasShownOurToken ? ourLeaseExpiry : Math.max(ourLeaseExpiry, times.fenceAt);
}
