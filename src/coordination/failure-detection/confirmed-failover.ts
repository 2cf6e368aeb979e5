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
  readonly stepDownRequests: StepDownRequests;
  readonly clock: Clock;
  /** ms after which the state service's word alone decides. */
  readonly confirmWithinMs: number;
  /** Hears of each decision once. */
  readonly onDecision: (decision: FailoverDecision) => void;
}

/** Verdicts on which a role is taken at once, and why. */
const IMMEDIATE_FAILOVER_REASONS: Partial<Record<VerdictKind, string>> = {
  failed: 'failure confirmed by a quorum',
  replaced: 'a later process answers',
  unsupported: 'the holder never answered a probe',
};

interface ReasonedAction {
  readonly action: FailoverAction;
  readonly why: string;
}

/** The policy that asks the failure detector. Safety rests on terms, guards and fences, not on it. */
export class ConfirmedFailover implements FailoverPolicy {
  private readonly flapDamping: FlapDamping;
  /** The last decision by role, so that each is told once. */
  private readonly lastReported = new Map<string, string>();

  constructor(private readonly options: ConfirmedFailoverOptions) {
    this.flapDamping = new FlapDamping(options.clock);
  }

  mayFailOver(holder: ExpiredHolder): boolean {
    const { clock, detector, stepDownRequests } = this.options;
    const verdict = detector.verdict(holder.node, holder.incarnation, holder.expiredSince);
    const waitedMs = clock.now() - holder.expiredSince;
    const decision = this.decide(holder, verdict, waitedMs);
    if (decision.action !== 'take') detector.probe(holder.node);
    if (decision.action === 'ask to stand down') stepDownRequests.request(holder);
    this.reportOnce(holder, { ...decision, waitedMs, verdict });
    return decision.action === 'take';
  }

  onRegistrationLost(): void {
    this.flapDamping.addLoss();
  }

  isDamped(): boolean {
    return this.flapDamping.isDamped;
  }

  private decide(holder: ExpiredHolder, verdict: Verdict | null, waitedMs: number): ReasonedAction {
    if (this.options.stepDownRequests.isConfirmed(holder))
      return { action: 'take', why: 'stood down' };
    const reason = IMMEDIATE_FAILOVER_REASONS[verdict?.kind ?? 'unsupported'];
    if (reason !== undefined) return { action: 'take', why: reason };
    if (waitedMs >= this.options.confirmWithinMs) {
      return { action: 'take', why: 'not confirmed in time: by the state service alone' };
    }
    return verdict?.kind === 'reachable'
      ? { action: 'ask to stand down', why: 'the holder answers probes' }
      : { action: 'wait', why: 'failure not confirmed yet' };
  }

  private reportOnce(
    { incarnation, node, role, term }: ExpiredHolder,
    reasoned: ReasonedAction & { waitedMs: number; verdict: Verdict | null },
  ): void {
    const { action, verdict, waitedMs, why } = reasoned;
    const key = `${incarnation} ${term} ${why}`;
    if (this.lastReported.get(role) === key) return;
    this.lastReported.set(role, key);
    const { quorum, witnesses } = verdict ?? { quorum: 0, witnesses: [] };
    const basis = { witnesses, quorum, waitedMs };
    this.options.onDecision({ role, holder: node, incarnation, term, action, why, ...basis });
  }
}
