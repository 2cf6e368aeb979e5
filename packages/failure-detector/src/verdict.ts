/** The verdict on one instance of a member, which follows from the evidence. */

import { MAX_QUORUM } from './constants.js';

/** One observation of a member's instance. `at`: monotonic time in ms of the deciding member. */
export type Evidence =
  /**
   * A probe by the deciding member, sent at `at`: a ping to the instance and, if that is not
   * answered, pings by other members on request. `isReached`: any of these pings was answered.
   */
  | { readonly kind: 'own probe'; readonly isReached: boolean; readonly at: number }
  /** The report, received at `at`, of another member that could not reach the instance. */
  | {
      readonly kind: 'witness';
      readonly witness: string;
      readonly at: number;
      readonly storeAnswers: boolean;
    }
  /** A later process of the same member answers, so that the earlier one has ended. */
  | { readonly kind: 'newer instance'; readonly instance: string; readonly at: number };

/**
 * The state of an instance by its evidence.
 * `failed`: a quorum of independent witnesses could not reach it.
 * `replaced`: a later process of the member answered, so that this one has ended.
 * `reachable`: it answered a probe that was sent at `VerdictInput.since` or later.
 * `unconfirmed`: the evidence is not sufficient for any of the others.
 * `unsupported`: the member has never answered a probe.
 */
export type VerdictKind = 'failed' | 'replaced' | 'reachable' | 'unconfirmed' | 'unsupported';

/** A verdict with the evidence for it. */
export interface Verdict {
  readonly kind: VerdictKind;
  readonly quorum: number;
  readonly witnesses: readonly string[];
  readonly evidence: readonly Evidence[];
}

/**
 * Returns the number of independent witnesses, the deciding member included, that confirm a failure: a
 * majority of the members other than the failed one, at most three. In a cluster of two members the
 * other member alone is sufficient.
 */
export function quorumOf(memberCount: number): number {
  const others = memberCount - 1;
  return Math.min(MAX_QUORUM, Math.floor(others / 2) + 1, others);
}

/** The evidence on an instance, and the settings for the verdict on it. */
export interface VerdictInput {
  /** Name of the deciding member. */
  readonly self: string;
  readonly quorum: number;
  /** Whether the member has answered any probe since the deciding process started. */
  readonly isSupported: boolean;
  readonly newerInstance: { readonly instance: string; readonly at: number } | null;
  /** Monotonic time in ms at which the latest answered own probe was sent; null: there is none. */
  readonly reachedAt: number | null;
  /** Monotonic time in ms at which the latest failed own probe was sent; null: there is none. */
  readonly unreachedAt: number | null;
  /** Reports of witnesses that have not expired. */
  readonly reports: readonly Extract<Evidence, { kind: 'witness' }>[];
  /** Monotonic time in ms: a probe that was sent earlier does not prove that the instance lives. */
  readonly since: number;
  /** Whether the key-value store answers the deciding member. */
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
 * Returns the members that can't reach the instance: the deciding one if its latest probe failed, and
 * the others by their reports. A member that the key-value store does not answer may itself be cut off,
 * and is not counted.
 */
function witnessesOf(input: VerdictInput): string[] {
  const { reachedAt, reports, self, storeAnswers, unreachedAt } = input;
  const others = reports.filter((report) => report.storeAnswers).map(({ witness }) => witness);
  const isUnreached = unreachedAt !== null && unreachedAt > (reachedAt ?? -Infinity);
  const ownWitness = isUnreached && storeAnswers ? [self] : [];
  return [...new Set([...ownWitness, ...others])];
}

function kindOf(input: VerdictInput, witnesses: readonly string[]): VerdictKind {
  const { newerInstance, quorum, reachedAt, self, since } = input;
  if (newerInstance) return 'replaced';
  if (!input.isSupported) return 'unsupported';
  if (reachedAt !== null && reachedAt >= since) return 'reachable';
  // The deciding member must be a witness itself, because reports of others may be out of date.
  const isConfirmed = witnesses.includes(self) && witnesses.length >= quorum;
  return isConfirmed ? 'failed' : 'unconfirmed';
}

/** Returns the verdict on an instance. */
export function verdictOf(input: VerdictInput): Verdict {
  const witnesses = witnessesOf(input);
  const kind = kindOf(input, witnesses);
  return { kind, quorum: input.quorum, witnesses, evidence: evidenceOf(input) };
}
