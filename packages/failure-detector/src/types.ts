/** The detector's environment and its events. */

import type { DetectorMessage } from './messages.js';
import type { Evidence } from './verdict.js';

/** Steady time in ms; simulated in tests. */
export interface DetectorClock {
  now(): number;
  /** Time of day in ms, for records only. */
  wall(): number;
  /** Calls back once after a delay in ms; the result cancels it. */
  after(delayMs: number, callback: () => void): () => void;
}

/** Sends messages to members; they may be lost, late or repeated. */
export interface DetectorTransport {
  /** False: there is no connection to the member. */
  send(member: string, message: DetectorMessage): boolean;
}

/** The state of a member in the view of this one. `unknown`: it has never answered a probe. */
export type MemberState = 'unknown' | 'alive' | 'suspect' | 'failed';

/** Why a member's state changed. */
export type TransitionReason =
  | 'answered'
  | 'new instance'
  | 'probe failed'
  | 'reported by a witness'
  | 'refuted'
  | 'suspicion timed out';

/** A change of a member's state, with what it rests on. */
export interface Transition {
  /** Time of day in ms. */
  readonly at: number;
  readonly observer: string;
  readonly member: string;
  readonly instance: string;
  readonly incarnation: number;
  readonly from: MemberState;
  readonly to: MemberState;
  readonly reason: TransitionReason;
  readonly evidence: readonly Evidence[];
  /** ms since the last proof of life before this change; null: there was none. */
  readonly silentMs: number | null;
}

/** Is notified of changes. */
export interface DetectorObserver {
  changed(transition: Transition): void;
}

/** Times in ms, from the operators' settings. */
export interface DetectorTiming {
  /** One member is probed in each interval. */
  readonly probeIntervalMs: number;
  /** A direct probe without an answer is followed by indirect ones after this. */
  readonly probeTimeoutMs: number;
  /** A suspicion with all confirmations lasts this long, and one without any `suspicionMostMs`. */
  readonly suspicionLeastMs: number;
  readonly suspicionMostMs: number;
}

/** What a detector is created from. */
export interface FailureDetectorOptions {
  readonly self: string;
  /** Tells this process from the ones that ran as this member before. */
  readonly instance: string;
  /** All members of the cluster, this one included. */
  readonly members: readonly string[];
  /** Messages of other clusters are dropped. */
  readonly cluster: string;
  readonly timing: DetectorTiming;
  /** Independent witnesses, this member included, that confirm a failure; null: by `quorumOf`. */
  readonly quorum: number | null;
  readonly clock: DetectorClock;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  readonly transport: DetectorTransport;
  readonly observer: DetectorObserver;
  /** Whether the shared store answers this member: a member without it is no witness. */
  readonly storeAnswers: () => boolean;
}
