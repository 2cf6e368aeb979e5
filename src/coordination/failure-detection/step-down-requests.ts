/** Asks holders whose lease has expired to step down, and steps down when this process is asked. */

import { STEP_DOWN_RETRY_MS } from '../../constants/failure-detection.js';
import type { PeerMessage, RoleTenure } from '../../protocol/peer-messages.js';
import type { Log } from '../../storage/log.js';
import type { Clock } from '../../transport/clock.js';
import type { ExpiredHolder } from '../election/failover-policy.js';
import type { RoleElection } from '../election/role-election.js';

/** What step-down requests work with. */
export interface StepDownRequestsOptions {
  readonly node: string;
  readonly incarnation: string;
  /** Names of all members. */
  readonly members: ReadonlySet<string>;
  readonly clock: Clock;
  readonly log: Log;
  readonly send: (peer: string, message: PeerMessage) => boolean;
  /** Whether the key-value store answers this controller. */
  readonly isStoreReachable: () => boolean;
  readonly roles: () => RoleElection;
  /** This process stepped down: nothing may act on behalf of the role any more. */
  readonly onSteppedDown: () => void;
  /** A holder confirmed that it stepped down: the role can be claimed. */
  readonly onConfirmed: () => void;
}

const tenureKeyOf = ({ role, term, incarnation }: Omit<RoleTenure, 'node'>): string =>
  `${role} ${term} ${incarnation}`;

/** Both sides of a step-down. A lost or repeated message does no harm: an answer names its term. */
export class StepDownRequests {
  /** The tenure of the latest answer by role: older answers are about terms that are over. */
  private readonly confirmed = new Map<string, string>();
  /** Steady time of the last request by role. */
  private readonly requestedAt = new Map<string, number>();

  constructor(private readonly options: StepDownRequestsOptions) {}

  /** Whether a holder confirmed that it stepped down. */
  isConfirmed(holder: ExpiredHolder): boolean {
    return this.confirmed.get(holder.role) === tenureKeyOf(holder);
  }

  /** Asks a holder to step down, at most once in `STEP_DOWN_RETRY_MS`. */
  request({ incarnation, node, role, term }: ExpiredHolder): void {
    const { clock, send } = this.options;
    const now = clock.now();
    if (now - (this.requestedAt.get(role) ?? -Infinity) < STEP_DOWN_RETRY_MS) return;
    this.requestedAt.set(role, now);
    send(node, { kind: 'stepDown', node: this.options.node, role, term, incarnation });
  }

  /** Handles a peer's request to step down. */
  onRequest(tenure: RoleTenure, sendReply: (message: PeerMessage) => void): void {
    const { incarnation, log, members, node, onSteppedDown, roles, isStoreReachable } =
      this.options;
    if (!members.has(tenure.node) || tenure.incarnation !== incarnation) return;
    // The peer's view is out of date: the key-value store answers, and shows that we are registered.
    if (roles().isRegistered && isStoreReachable()) return;
    const { role, term } = tenure;
    if (!roles().stepDown(role, term) && !roles().hasSteppedDown(role, term)) return;
    onSteppedDown();
    log.info({ role, term, requestedBy: tenure.node }, 'stepped down');
    sendReply({ kind: 'steppedDown', node, role, term, incarnation });
  }

  /** Handles a holder's answer that it stepped down. */
  onAnswer(tenure: RoleTenure): void {
    if (!this.options.members.has(tenure.node)) return;
    this.confirmed.set(tenure.role, tenureKeyOf(tenure));
    this.options.onConfirmed();
  }
}
