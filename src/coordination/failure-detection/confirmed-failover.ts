/** Lets roles fail over once the failure of their holder is confirmed, or after a bounded wait. */

import type { FailureDetector, Verdict, VerdictKind } from '@mothbank/failure-detector';
import type { Clock } from '../../transport/clock.js';
import type { ExpiredHolder, FailoverPolicy } from '../election/failover-policy.js';
import type { FailoverAction, FailoverDecision } from './detection-records.js';
import { FlapDamping } from './flap-damping.js';
import type { StepDownRequests } from './step-down-requests.js';

/** What failover decisions rest on. */
export interface ConfirmedFailoverOptions {
  readonly detector: FailureDetector;
  readonly stepDownRequests: StepDownRequests;
  readonly clock: Clock;
  /** ms after which lease expiry in the key-value store alone decides. */
  readonly confirmWithinMs: number;
  /** Called once for each new decision. */
  readonly onDecision: (decision: FailoverDecision) => void;
}

/** Verdicts on which a role fails over at once, with the reason that is recorded. */
const IMMEDIATE_FAILOVER_REASONS: Partial<Record<VerdictKind, string>> = {
  failed: 'failure confirmed by a quorum',
  replaced: 'a later process answers',
  unsupported: 'the holder never answered a probe',
};

interface ReasonedAction {
  readonly action: FailoverAction;
  readonly why: string;
}

/** Decides by the failure detector. Safety rests on terms, guards and fences, not on its verdicts. */
export class ConfirmedFailover implements FailoverPolicy {
  private readonly flapDamping: FlapDamping;
  /** The last reported decision by role, so that each is reported once. */
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
    const { confirmWithinMs, stepDownRequests } = this.options;
    if (stepDownRequests.isConfirmed(holder)) return { action: 'take', why: 'stood down' };
    const reason = IMMEDIATE_FAILOVER_REASONS[verdict?.kind ?? 'unsupported'];
    if (reason !== undefined) return { action: 'take', why: reason };
    if (waitedMs >= confirmWithinMs) {
      return { action: 'take', why: 'not confirmed in time: by the state service alone' };
    }
    return verdict?.kind === 'reachable'
      ? { action: 'ask to stand down', why: 'the holder answers probes' }
      : { action: 'wait', why: 'failure not confirmed yet' };
  }

  private reportOnce(
    { incarnation, node, role, term }: ExpiredHolder,
    decision: ReasonedAction & { waitedMs: number; verdict: Verdict | null },
  ): void {
    const { action, verdict, waitedMs, why } = decision;
    const decisionKey = `${incarnation} ${term} ${why}`;
    if (this.lastReported.get(role) === decisionKey) return;
    this.lastReported.set(role, decisionKey);
    const { quorum, witnesses } = verdict ?? { quorum: 0, witnesses: [] };
    const evidence = { witnesses, quorum, waitedMs };
    this.options.onDecision({ role, holder: node, incarnation, term, action, why, ...evidence });
  }
}
