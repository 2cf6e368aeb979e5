/** Requests holders with an expired lease to step down, and processes such requests from peers. */

import { STEP_DOWN_RETRY_MS } from '../../constants/failure-detection.js';
import type { PeerMessage, RoleTenure } from '../../protocol/peer-messages.js';
import type { Log } from '../../storage/log.js';
import type { Clock } from '../../transport/clock.js';
import type { ExpiredHolder } from '../election/failover-policy.js';
import type { RoleElection } from '../election/role-election.js';

/** Dependencies of `StepDownRequests`. */
export interface StepDownRequestsOptions {
  readonly node: string;
  readonly incarnation: string;
  /** Names of all members. */
  readonly members: ReadonlySet<string>;
  readonly clock: Clock;
  readonly log: Log;
  readonly send: (peer: string, message: PeerMessage) => boolean;
  /** Returns whether the key-value store answers this controller. */
  readonly isStoreReachable: () => boolean;
  readonly roles: () => RoleElection;
  /** Called when this process has stepped down from a role, so that it stops acting in the role. */
  readonly onSteppedDown: () => void;
  /** Called when a holder has confirmed its step-down, so that its role is claimed. */
  readonly onConfirmed: () => void;
}

const tenureKeyOf = ({ role, term, incarnation }: Omit<RoleTenure, 'node'>): string =>
  `${role} ${term} ${incarnation}`;

/**
 * Sends and answers step-down requests. Lost and repeated messages are harmless, because a request
 * is sent again until it is answered, and each answer names the term that it is about.
 */
export class StepDownRequests {
  /** Tenure of the latest answer, by role. Older answers are about terms that have ended. */
  private readonly confirmedTenures = new Map<string, string>();
  /** Steady time of the last request in ms, by role. */
  private readonly requestedAt = new Map<string, number>();

  constructor(private readonly options: StepDownRequestsOptions) {}

  /** Returns whether a holder has confirmed that it stepped down. */
  isConfirmed(holder: ExpiredHolder): boolean {
    return this.confirmedTenures.get(holder.role) === tenureKeyOf(holder);
  }

  /** Sends a holder a step-down request, at most once per role in `STEP_DOWN_RETRY_MS`. */
  request({ incarnation, node, role, term }: ExpiredHolder): void {
    const { clock, send } = this.options;
    const now = clock.now();
    if (now - (this.requestedAt.get(role) ?? -Infinity) < STEP_DOWN_RETRY_MS) return;
    this.requestedAt.set(role, now);
    send(node, { kind: 'stepDown', node: this.options.node, role, term, incarnation });
  }

  /** Steps down from a role on a peer's request, and confirms it to the peer. */
  onRequest(tenure: RoleTenure, sendReply: (message: PeerMessage) => void): void {
    const { incarnation, log, members, node, onSteppedDown, roles, isStoreReachable } =
      this.options;
    if (!members.has(tenure.node) || tenure.incarnation !== incarnation) return;
    // If the key-value store answers and shows this process as registered, the peer's replica is
    // out of date.
    if (roles().isRegistered && isStoreReachable()) return;
    const { role, term } = tenure;
    if (!roles().stepDown(role, term) && !roles().hasSteppedDown(role, term)) return;
    onSteppedDown();
    log.info({ role, term, requestedBy: tenure.node }, 'stepped down');
    sendReply({ kind: 'steppedDown', node, role, term, incarnation });
  }

  /** Records a holder's confirmation that it stepped down. */
  onConfirmation(tenure: RoleTenure): void {
    if (!this.options.members.has(tenure.node)) return;
    this.confirmedTenures.set(tenure.role, tenureKeyOf(tenure));
    this.options.onConfirmed();
  }
}
