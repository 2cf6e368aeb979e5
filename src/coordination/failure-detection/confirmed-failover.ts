/** Takes roles over once the failure of their holder is confirmed, or the wait for that is over. */

import type { FailureDetector, Verdict, VerdictKind } from '@mothbank/failure-detector';
import type { Clock } from '../../transport/clock.js';
import type { ExpiredHolder, FailoverPolicy } from '../election/failover-policy.js';
import type { FailoverAction, FailoverDecision } from './detection-records.js';
import { FlapDamping } from './flap-damping.js';
import type { StepDownRequests } from './step-down-requests.js';

/** What decisions rest on. */
export interface ConfirmedFailoverOptions {
  readonly detector: FailureDetector;
  readonly stepDown: StepDownRequests;
  readonly clock: Clock;
  /** ms after which the state service's word alone decides. */
  readonly confirmWithinMs: number;
  /** Hears of each decision once. */
  readonly onDecision: (decision: FailoverDecision) => void;
}

/** Verdicts on which a role is taken at once, and why. */
const TAKEN_AT_ONCE: Partial<Record<VerdictKind, string>> = {
  failed: 'failure confirmed by a quorum',
  replaced: 'a later process answers',
  unsupported: 'the holder never answered a probe',
};

interface Reasoned {
  readonly action: FailoverAction;
  readonly why: string;
}

/** The policy that asks the failure detector. Safety rests on terms, guards and fences, not on it. */
export class ConfirmedFailover implements FailoverPolicy {
  private readonly damping: FlapDamping;
  /** The last decision by role, so that each is told once. */
  private readonly told = new Map<string, string>();

  constructor(private readonly options: ConfirmedFailoverOptions) {
    this.damping = new FlapDamping(options.clock);
  }

  mayTakeOver(holder: ExpiredHolder): boolean {
    const { clock, detector, stepDown } = this.options;
    const verdict = detector.verdict(holder.node, holder.incarnation, holder.since);
    const waitedMs = clock.now() - holder.since;
    const decision = this.decide(holder, verdict, waitedMs);
    if (decision.action !== 'take') detector.probe(holder.node);
    if (decision.action === 'ask to stand down') stepDown.ask(holder);
    this.tell(holder, { ...decision, waitedMs, verdict });
    return decision.action === 'take';
  }

  registrationLost(): void {
    this.damping.lost();
  }

  isDamped(): boolean {
    return this.damping.isDamped;
  }

  private decide(holder: ExpiredHolder, verdict: Verdict | null, waitedMs: number): Reasoned {
    if (this.options.stepDown.isConfirmed(holder)) return { action: 'take', why: 'stood down' };
    const reason = TAKEN_AT_ONCE[verdict?.kind ?? 'unsupported'];
    if (reason !== undefined) return { action: 'take', why: reason };
    if (waitedMs >= this.options.confirmWithinMs) {
      return { action: 'take', why: 'not confirmed in time: by the state service alone' };
    }
    return verdict?.kind === 'reachable'
      ? { action: 'ask to stand down', why: 'the holder answers probes' }
      : { action: 'wait', why: 'failure not confirmed yet' };
  }

  private tell(
    { incarnation, node, role, term }: ExpiredHolder,
    reasoned: Reasoned & { waitedMs: number; verdict: Verdict | null },
  ): void {
    const { action, verdict, waitedMs, why } = reasoned;
    const key = `${incarnation} ${term} ${why}`;
    if (this.told.get(role) === key) return;
    this.told.set(role, key);
    const { quorum, witnesses } = verdict ?? { quorum: 0, witnesses: [] };
    const basis = { witnesses, quorum, waitedMs };
    this.options.onDecision({ role, holder: node, incarnation, term, action, why, ...basis });
  }
}
