/** One machine as the owner of its part knows it. */

import type { TaskStatus } from '../../protocol/model.js';

/** Commands sent straight to a worker whose end is not known yet. */
export interface UnconfirmedCalls {
  agentEpoch: number;
  attempts: Set<number>;
  /** No answer came: a report with this token, or of a later session, shows that they are fenced. */
  fencedBy: number | null;
}

/** A machine, its newest report, and what reports and answers have proven. */
export interface Machine {
  name: string;
  address: string;
  /** Added to the part's token: raised to fence commands, and to ask whether it hears us. */
  fencingOffset: number;
  /** Tokens below this one were given out before this entry was made. */
  initialFencingOffset: number;
  /** Only a report that shows at least this one proves that it hears us. */
  requiredFencingOffset: number;
  /** A start was sent straight to it under the present token: a repeat of it would be carried out. */
  hasUnfencedStart: boolean;
  directCalls: UnconfirmedCalls | null;
  type: string;
  zone: string;
  spot: boolean;
  agentEpoch: number;
  sequence: number;
  /** Steady time of the newest report. */
  observedAt: number;
  /** The newest report shows our latest token, so an answer got through since the last doubt. */
  isAcknowledged: boolean;
  /** Steady time of the last report that did. */
  acknowledgedAt: number;
  /** Steady time of the last newer report that came by itself, not in answer to a call. */
  heartbeatAt: number;
  /** Steady time of our first answer since then, and how many there were. */
  unacknowledgedSince: number;
  unacknowledgedAnswers: number;
  /** Steady time of our last answer with 200. */
  answeredAt: number;
  /** The worker has shown our token, so answers of former owners no longer count. */
  hasShownOurToken: boolean;
  isLeaving: boolean;
  /** Its services are being moved away: nothing is placed here for a while. */
  isConsolidating: boolean;
  reportedTasks: TaskStatus[];
  images: Set<string>;
  /** Jobs that failed here since the last success. */
  failedJobs: Set<string>;
}

/** An entry for a machine of which nothing was heard yet. `bump`: above all given out so far. */
export function createMachine(
  identity: Pick<Machine, 'name' | 'type' | 'zone' | 'spot'>,
  bump: number,
  now: number,
): Machine {
  const { name, type, zone, spot } = identity;
  return {
    name,
    address: '',
    fencingOffset: bump,
    initialFencingOffset: bump,
    requiredFencingOffset: bump,
    hasUnfencedStart: false,
    directCalls: null,
    type,
    zone,
    spot,
    agentEpoch: 0,
    sequence: 0,
    observedAt: now,
    isAcknowledged: false,
    acknowledgedAt: now,
    heartbeatAt: now,
    unacknowledgedSince: now,
    unacknowledgedAnswers: 0,
    answeredAt: now,
    hasShownOurToken: false,
    isLeaving: false,
    isConsolidating: false,
    reportedTasks: [],
    images: new Set(),
    failedJobs: new Set(),
  };
}
