/** Failover policy that waits until the holder's failure is confirmed, for a limited time. */

import type { FailureDetector, Verdict, VerdictKind } from '@mothbank/failure-detector';
import type { Clock } from '../../transport/clock.js';
import type { ExpiredHolder, FailoverPolicy } from '../election/failover-policy.js';
import type { FailoverAction, FailoverDecision } from './detection-records.js';
import { FlapDamping } from './flap-damping.js';
import type { StepDownRequests } from './step-down-requests.js';

/** Dependencies and settings of a `ConfirmedFailover`. */
export interface ConfirmedFailoverOptions {
  readonly detector: FailureDetector;
  readonly stepDownRequests: StepDownRequests;
  readonly clock: Clock;
  /** Time in ms since the lease's expiry after which a role fails over without confirmation. */
  readonly confirmWithinMs: number;
  /** Called for each decision that differs from the last one about the role. */
  readonly onDecision: (decision: FailoverDecision) => void;
}

/** Reasons recorded for failovers without a wait, by the verdict that allows them. */
const IMMEDIATE_FAILOVER_REASONS: Partial<Record<VerdictKind, string>> = {
  failed: 'failure confirmed by a quorum',
  replaced: 'a later process answers',
  unsupported: 'the holder never answered a probe',
};

interface ReasonedAction {
  readonly action: FailoverAction;
  readonly why: string;
}

/**
 * Decides failovers by the verdicts of the failure detector. Terms, guards and fencing tokens
 * ensure that each role has a single holder, so a wrong verdict costs availability but not safety.
 */
export class ConfirmedFailover implements FailoverPolicy {
  private readonly flapDamping: FlapDamping;
  /** The last reported decision by role, so that a repeated decision is not reported again. */
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
