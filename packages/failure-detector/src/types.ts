/** The detector's options, its environment and its events. */

import type { DetectorMessage } from './messages.js';
import type { Evidence } from './verdict.js';

/** Clock and timers; tests simulate them. */
export interface DetectorClock {
  /** Monotonic time in ms. */
  now(): number;
  /** Wall-clock time in ms since 1970, for records only. */
  wall(): number;
  /** Calls `callback` once after a delay in ms; the returned function cancels the timer. */
  after(delayMs: number, callback: () => void): () => void;
}

/** Sends messages to members. Messages may be lost, delayed or repeated. */
export interface DetectorTransport {
  /** Sends a message; false: there is no connection to the member. */
  send(member: string, message: DetectorMessage): boolean;
}

/** The state of a member as another one sees it. `unknown`: it has never answered a probe. */
export type MemberState = 'unknown' | 'alive' | 'suspect' | 'failed';

/** The reason for a change of a member's state. */
export type TransitionReason =
  | 'answered'
  | 'new instance'
  | 'probe failed'
  | 'reported by a witness'
  | 'refuted'
  | 'suspicion timed out';

/** A change of a member's state, with the evidence for it. */
export interface Transition {
  /** Wall-clock time in ms since 1970. */
  readonly at: number;
  readonly observer: string;
  readonly member: string;
  readonly instance: string;
  readonly incarnation: number;
  readonly from: MemberState;
  readonly to: MemberState;
  readonly reason: TransitionReason;
  readonly evidence: readonly Evidence[];
  /** ms since the latest answered probe was sent; null: no probe was ever answered. */
  readonly silentMs: number | null;
}

/** Receives the changes of members' states. */
export interface DetectorObserver {
  changed(transition: Transition): void;
}

/** Intervals and time-outs in ms, from the operators' settings. */
export interface DetectorTiming {
  /** Time between two probes; each probes one member. */
  readonly probeIntervalMs: number;
  /** Time without a direct answer after which helpers are asked for indirect probes. */
  readonly probeTimeoutMs: number;
  /** Time-out of a suspicion with all expected confirmations. */
  readonly suspicionLeastMs: number;
  /** Time-out of a suspicion without confirmations. */
  readonly suspicionMostMs: number;
}

/** Identity, settings and environment of a detector. */
export interface FailureDetectorOptions {
  /** Name of this member. */
  readonly self: string;
  /** Unique name of this process; earlier processes of the same member had others. */
  readonly instance: string;
  /** Names of all members of the cluster, this one included. */
  readonly members: readonly string[];
  /** Name of the cluster; messages with another one are dropped. */
  readonly cluster: string;
  readonly timing: DetectorTiming;
  /**
   * Number of independent witnesses, this member included, that confirm a failure; null: `quorumOf` the
   * member count.
   */
  readonly quorum: number | null;
  readonly clock: DetectorClock;
  /** Returns a uniformly distributed random number in [0, 1). */
  readonly random: () => number;
  readonly transport: DetectorTransport;
  readonly observer: DetectorObserver;
  /**
   * Returns whether the key-value store answers this member. A member that it does not answer may itself
   * be cut off, and does not count as a witness.
   */
  readonly storeAnswers: () => boolean;
}
