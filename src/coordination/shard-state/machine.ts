/** One machine as the owner of its part knows it. */

import type { TaskReport } from '../../protocol/model.js';

/** Commands sent straight to a worker whose end is not known yet. */
export interface Direct {
  session: number;
  attempts: Set<number>;
  /** No answer came: a report with this token, or of a later session, shows that they are fenced. */
  fence: number | null;
}

/** A machine, its newest report, and what reports and answers have proven. */
export interface Machine {
  name: string;
  address: string;
  /** Added to the part's token: raised to fence commands, and to ask whether it hears us. */
  bump: number;
  /** Tokens below this one were given out before this entry was made. */
  firstBump: number;
  /** Only a report that shows at least this one proves that it hears us. */
  proofBump: number;
  /** A start was sent straight to it under the present token: a repeat of it would be carried out. */
  exposed: boolean;
  direct: Direct | null;
  type: string;
  zone: string;
  spot: boolean;
  session: number;
  seq: number;
  /** Steady time of the newest report. */
  observedAt: number;
  /** The newest report shows our latest token, so an answer got through since the last doubt. */
  proven: boolean;
  /** Steady time of the last report that did. */
  provenAt: number;
  /** Steady time of the last newer report that came by itself, not in answer to a call. */
  reportedAt: number;
  /** Steady time of our first answer since then, and how many there were. */
  askedAt: number;
  asked: number;
  /** Steady time of our last answer with 200. */
  answeredAt: number;
  /** The worker has shown our token, so answers of former owners no longer count. */
  ours: boolean;
  leaving: boolean;
  /** Its services are being moved away: nothing is placed here for a while. */
  closing: boolean;
  tasks: TaskReport[];
  images: Set<string>;
  /** Jobs that failed here since the last success. */
  errors: Set<string>;
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
    bump,
    firstBump: bump,
    proofBump: bump,
    exposed: false,
    direct: null,
    type,
    zone,
    spot,
    session: 0,
    seq: 0,
    observedAt: now,
    proven: false,
    provenAt: now,
    reportedAt: now,
    askedAt: now,
    asked: 0,
    answeredAt: now,
    ours: false,
    leaving: false,
    closing: false,
    tasks: [],
    images: new Set(),
    errors: new Set(),
  };
}
