/** When a role whose holder's registration has ended may be taken over. */

/** A holder of a role whose registration in the state service has ended. */
export interface ExpiredHolder {
  readonly role: string;
  readonly node: string;
  /** Tells the holder's process from others of the same node. */
  readonly incarnation: string;
  readonly term: number;
  /** Steady time in ms since which this node has seen that nobody holds the role. */
  readonly expiredSince: number;
}

/**
 * Says when a takeover is tried. That it is safe rests on terms, guards and fences alone, whatever a
 * policy says.
 */
export interface FailoverPolicy {
  /** Whether a role may be taken now from a holder whose registration has ended. */
  mayFailOver(holder: ExpiredHolder): boolean;
  /** This node's own registration has ended. */
  onRegistrationLost(): void;
  /** Whether this node leaves its roles with nodes that live, since it lost its registration often. */
  isDamped(): boolean;
}

/** The state service's word alone decides. */
export const STORE_ONLY_POLICY: FailoverPolicy = {
  mayFailOver: () => true,
  onRegistrationLost: () => undefined,
  isDamped: () => false,
};
