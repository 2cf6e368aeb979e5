/** The in-memory entry of one machine at its shard's holder. */

import type { TaskStatus } from '../../protocol/model.js';

/** Commands that were sent directly to a worker and may still be carried out. */
export interface UnconfirmedCall {
  workerEpoch: number;
  attempts: Set<number>;
  /**
   * The token that fences the commands after a call without an answer. A heartbeat that shows this
   * token, or one of a later worker epoch, proves that none of them will be carried out any more.
   * Null while the call is in progress.
   */
  fencedBy: number | null;
}

/** Starts in the newest answer to a heartbeat that the worker sent on its own. */
interface UnconfirmedAnswer {
  workerEpoch: number;
  /** The token of the answer. The worker drops the answer if it has received a higher one. */
  fencingToken: number;
  attempts: Set<number>;
}

/** A machine, its newest heartbeat, and the state of its acknowledgement and lease. */
export interface Machine {
  name: string;
  address: string;
  type: string;
  zone: string;
  spot: boolean;

  /** Worker epoch of the newest heartbeat, and the heartbeat's sequence number in that epoch. */
  workerEpoch: number;
  sequence: number;
  /** Steady time at which the newest heartbeat arrived, on its own or in answer to a call. */
  observedAt: number;
  /** Steady time at which the newest heartbeat that the worker sent on its own arrived. */
  heartbeatAt: number;

  /** The machine's current fencing token, less the base of the shard's term. */
  fencingOffset: number;
  /**
   * The fencing offset that this entry started with; lower ones may have been issued to the
   * machine's earlier entry, which was removed.
   */
  initialFencingOffset: number;
  /** The lowest fencing offset with which a heartbeat acknowledges the machine. */
  requiredFencingOffset: number;
  /**
   * The newest heartbeat shows a fencing token issued to this entry, so leases granted by former
   * holders no longer count.
   */
  hasShownTokenOfEntry: boolean;
  /**
   * The newest heartbeat shows the required fencing token, so the machine receives the answers of
   * this shard's holder.
   */
  isAcknowledged: boolean;
  /** Steady time of the last heartbeat that acknowledged the machine. */
  acknowledgedAt: number;
  /**
   * Steady time of the first answer to a heartbeat since the machine became unacknowledged, and the
   * number of such answers.
   */
  unacknowledgedSince: number;
  unacknowledgedAnswers: number;
  /**
   * Steady time of the last answer with 200 to a heartbeat, which may have renewed the worker's
   * lease.
   */
  answeredAt: number;
  /**
   * A start was sent directly under the current token, so a late duplicate would be carried out.
   */
  hasUnfencedStart: boolean;
  unconfirmedCall: UnconfirmedCall | null;
  /** Null if no start in an answer to a heartbeat may still arrive. */
  unconfirmedAnswer: UnconfirmedAnswer | null;

  /**
   * The machine will be taken back by the cloud, according to its heartbeat or its stored health.
   */
  isLeaving: boolean;
  /**
   * The machine's services are being moved to other machines, so nothing is placed on it meanwhile.
   */
  isConsolidating: boolean;
  reportedTasks: TaskStatus[];
  images: Set<string>;
  /** Jobs whose tasks have failed on the machine since a task last succeeded there. */
  failedJobs: Set<string>;
}

/**
 * Creates the entry of a machine without any heartbeat. `initialFencingOffset`: an offset above all
 * that were issued to removed entries.
 */
export function createMachine(
  identity: Pick<Machine, 'name' | 'type' | 'zone' | 'spot'>,
  initialFencingOffset: number,
  now: number,
): Machine {
  const { name, type, zone, spot } = identity;
  return {
    name,
    address: '',
    type,
    zone,
    spot,
    workerEpoch: 0,
    sequence: 0,
    observedAt: now,
    heartbeatAt: now,
    fencingOffset: initialFencingOffset,
    initialFencingOffset,
    requiredFencingOffset: initialFencingOffset,
    hasShownTokenOfEntry: false,
    isAcknowledged: false,
    acknowledgedAt: now,
    unacknowledgedSince: now,
    unacknowledgedAnswers: 0,
    answeredAt: now,
    hasUnfencedStart: false,
    unconfirmedCall: null,
    unconfirmedAnswer: null,
    isLeaving: false,
    isConsolidating: false,
    reportedTasks: [],
    images: new Set(),
    failedJobs: new Set(),
  };
}

/** Whether a start of this attempt was sent to the machine and may still be carried out. */
export function mayStillStart(machine: Machine, attempt: number): boolean {
  const { unconfirmedAnswer, unconfirmedCall } = machine;
  return (
    (unconfirmedCall?.attempts.has(attempt) ?? false) ||
    (unconfirmedAnswer?.attempts.has(attempt) ?? false)
  );
}
