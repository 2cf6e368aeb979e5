/** The verdict that the evidence on one instance of a member supports. */

import { MAX_QUORUM } from './constants.js';

/** One view of a member's instance. `at`: steady time of the observer in ms. */
export type Evidence =
  /** This member's own probe, direct or through others. */
  | { readonly kind: 'own probe'; readonly isReached: boolean; readonly at: number }
  /** Another member could not reach it. */
  | {
      readonly kind: 'witness';
      readonly witness: string;
      readonly at: number;
      readonly storeAnswers: boolean;
    }
  /** Another process answers as this member: the one before it has ended. */
  | { readonly kind: 'newer instance'; readonly instance: string; readonly at: number };

/**
 * `failed`: confirmed by a quorum of independent witnesses. `replaced`: ended, by proof.
 * `reachable`: it answered. `unconfirmed`: neither. `unsupported`: it never answered a probe.
 */
export type VerdictKind = 'failed' | 'replaced' | 'reachable' | 'unconfirmed' | 'unsupported';

/** A verdict with what it rests on. */
export interface Verdict {
  readonly kind: VerdictKind;
  readonly quorum: number;
  readonly witnesses: readonly string[];
  readonly evidence: readonly Evidence[];
}

/**
 * Independent witnesses, the deciding member included, that confirm the failure of one of so many
 * members: a majority of the others, three at the most. With two members it is the other one alone.
 */
export function quorumOf(memberCount: number): number {
  const others = memberCount - 1;
  return Math.min(MAX_QUORUM, Math.floor(others / 2) + 1, others);
}

/** What is known of an instance. */
export interface VerdictInput {
  readonly self: string;
  readonly quorum: number;
  /** The member answered some probe since this process began. */
  readonly isSupported: boolean;
  readonly newerInstance: { readonly instance: string; readonly at: number } | null;
  /** Sending times of the latest own probes that were and were not answered; null: none. */
  readonly reachedAt: number | null;
  readonly unreachedAt: number | null;
  /** Reports that still count. */
  readonly reports: readonly Extract<Evidence, { kind: 'witness' }>[];
  /** A proof of life counts as present only if it is of a probe that was sent after this. */
  readonly since: number;
  /** Whether the shared store answers this member. */
  readonly storeAnswers: boolean;
}

function evidenceOf(input: VerdictInput): Evidence[] {
  const { newerInstance, reachedAt, reports, unreachedAt } = input;
  const evidence: Evidence[] = [];
  if (newerInstance) evidence.push({ kind: 'newer instance', ...newerInstance });
  if (reachedAt !== null) evidence.push({ kind: 'own probe', isReached: true, at: reachedAt });
  if (unreachedAt !== null) evidence.push({ kind: 'own probe', isReached: false, at: unreachedAt });
  return [...evidence, ...reports];
}

/**
 * Those who can't reach the instance: this member by its latest probe, and others by their reports. A
 * member that the store does not answer may be the one that is cut off, and is no witness.
 */
function witnessesOf(input: VerdictInput): string[] {
  const { reachedAt, reports, self, storeAnswers, unreachedAt } = input;
  const others = reports.filter((report) => report.storeAnswers).map(({ witness }) => witness);
  const isUnreached = unreachedAt !== null && unreachedAt > (reachedAt ?? -Infinity);
  const own = isUnreached && storeAnswers ? [self] : [];
  return [...new Set([...own, ...others])];
}

function kindOf(input: VerdictInput, witnesses: readonly string[]): VerdictKind {
  const { newerInstance, quorum, reachedAt, self, since } = input;
  if (newerInstance) return 'replaced';
  if (!input.isSupported) return 'unsupported';
  if (reachedAt !== null && reachedAt >= since) return 'reachable';
  // Reports alone are not enough: they may be late, while this member can probe for itself.
  const isConfirmed = witnesses.includes(self) && witnesses.length >= quorum;
  return isConfirmed ? 'failed' : 'unconfirmed';
}

/** The verdict on an instance. */
export function verdictOf(input: VerdictInput): Verdict {
  const witnesses = witnessesOf(input);
  const kind = kindOf(input, witnesses);
  return { kind, quorum: input.quorum, witnesses, evidence: evidenceOf(input) };
}
