/** One machine as the holder of its shard knows it. */

import type { TaskStatus } from '../../protocol/model.js';

/** Commands sent straight to a worker of which it is not known whether they are carried out. */
export interface UnconfirmedCalls {
  agentEpoch: number;
  attempts: Set<number>;
  /**
   * The token that fences them: no answer came, and a heartbeat that shows it, or one of a later
   * agent epoch, proves that none of them is carried out any more. Null: the call is under way.
   */
  fencedBy: number | null;
}

/** A machine, its newest heartbeat, and what heartbeats and answers have proven. */
export interface Machine {
  name: string;
  address: string;
  type: string;
  zone: string;
  spot: boolean;

  /** Newest heartbeat: the worker's agent epoch, and the heartbeat's number in it. */
  agentEpoch: number;
  sequence: number;
  /** Steady time at which it came. */
  observedAt: number;
  /** Steady time of the last newer heartbeat that came by itself, not in answer to a call. */
  heartbeatAt: number;

  /** Fencing token given out: the machine's latest, less the base of the shard's term. */
  fencingOffset: number;
  /** Asked: lower offsets may have been given out before this entry was made. */
  initialFencingOffset: number;
  /** Asked: only a heartbeat that shows at least this offset proves that the machine hears us. */
  requiredFencingOffset: number;
  /** Proven: it has shown a token of this entry, so answers of former holders no longer count. */
  hasShownOurToken: boolean;
  /** Proven: the newest heartbeat shows the required token, so an answer got through since then. */
  isAcknowledged: boolean;
  /** Steady time of the last heartbeat that proved it. */
  acknowledgedAt: number;
  /** Steady time of our first answer since then, and how many there were. */
  unacknowledgedSince: number;
  unacknowledgedAnswers: number;
  /** Steady time of our last answer with 200, which may have renewed the worker's lease. */
  answeredAt: number;
  /** A start was sent straight to it under the present token: a repeat of it would be carried out. */
  hasUnfencedStart: boolean;
  directCalls: UnconfirmedCalls | null;

  isLeaving: boolean;
  /** Its services are being moved away: nothing is placed here for a while. */
  isConsolidating: boolean;
  reportedTasks: TaskStatus[];
  images: Set<string>;
  /** Jobs whose tasks failed here since the last success. */
  failedJobs: Set<string>;
}

/**
 * An entry for a machine of which nothing was heard yet. `initialFencingOffset`: above all that
 * entries removed before have given out.
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
    agentEpoch: 0,
    sequence: 0,
    observedAt: now,
    heartbeatAt: now,
    fencingOffset: initialFencingOffset,
    initialFencingOffset,
    requiredFencingOffset: initialFencingOffset,
    hasShownOurToken: false,
    isAcknowledged: false,
    acknowledgedAt: now,
    unacknowledgedSince: now,
    unacknowledgedAnswers: 0,
    answeredAt: now,
    hasUnfencedStart: false,
    directCalls: null,
    isLeaving: false,
    isConsolidating: false,
    reportedTasks: [],
    images: new Set(),
    failedJobs: new Set(),
  };
}
