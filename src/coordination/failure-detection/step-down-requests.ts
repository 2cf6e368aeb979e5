/** Asks holders without a registration to give their roles up, and gives up this node's when asked. */

import { STEP_DOWN_RETRY_MS } from '../../constants/failure-detection.js';
import type { PeerMessage, RoleTenure } from '../../protocol/peer-messages.js';
import type { Log } from '../../storage/log.js';
import type { Clock } from '../../transport/clock.js';
import type { ExpiredHolder } from '../election/failover-policy.js';
import type { RoleElection } from '../election/role-election.js';

/** What standing down works with. */
export interface StepDownRequestsOptions {
  readonly node: string;
  readonly incarnation: string;
  /** Names of all members. */
  readonly members: ReadonlySet<string>;
  readonly clock: Clock;
  readonly log: Log;
  readonly send: (peer: string, message: PeerMessage) => boolean;
  /** Whether the state service answers this node. */
  readonly isStoreReachable: () => boolean;
  readonly roles: () => RoleElection;
  /** This node gave a role up: nothing may act in it any more. */
  readonly onSteppedDown: () => void;
  /** A holder gave a role up: it can be taken. */
  readonly onConfirmed: () => void;
}

const tenureKeyOf = ({ role, term, incarnation }: Omit<RoleTenure, 'node'>): string =>
  `${role} ${term} ${incarnation}`;

/** Both sides of standing down. A lost or repeated message does no harm: an answer names its term. */
export class StepDownRequests {
  /** The latest answer by role: older ones are of terms that are over. */
  private readonly confirmed = new Map<string, string>();
  private readonly requestedAt = new Map<string, number>();

  constructor(private readonly options: StepDownRequestsOptions) {}

  /** Whether a holder said that it gave the role up. */
  isConfirmed(holder: ExpiredHolder): boolean {
    return this.confirmed.get(holder.role) === tenureKeyOf(holder);
  }

  /** Asks a holder, again after a while. */
  request({ incarnation, node, role, term }: ExpiredHolder): void {
    const { clock, send } = this.options;
    const now = clock.now();
    if (now - (this.requestedAt.get(role) ?? -Infinity) < STEP_DOWN_RETRY_MS) return;
    this.requestedAt.set(role, now);
    send(node, { kind: 'stepDown', node: this.options.node, role, term, incarnation });
  }

  /** A peer asks this node to give a role up. */
  onRequest(tenure: RoleTenure, sendReply: (message: PeerMessage) => void): void {
    const { incarnation, log, members, node, onSteppedDown, roles, isStoreReachable } =
      this.options;
    if (!members.has(tenure.node) || tenure.incarnation !== incarnation) return;
    // What the peer saw is over: this node is registered, and by the state service's own word.
    if (roles().isRegistered && isStoreReachable()) return;
    const { role, term } = tenure;
    if (!roles().stepDown(role, term) && !roles().hasSteppedDown(role, term)) return;
    onSteppedDown();
    log.info({ role, term, for: tenure.node }, 'stood down');
    sendReply({ kind: 'steppedDown', node, role, term, incarnation });
  }

  /** A holder answers that it gave a role up. */
  onAnswer(tenure: RoleTenure): void {
    if (!this.options.members.has(tenure.node)) return;
    this.confirmed.set(tenure.role, tenureKeyOf(tenure));
    this.options.onConfirmed();
  }
}
