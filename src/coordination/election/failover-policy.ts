/** The interface of failover policies, and the policy that uses lease expiry alone. */

/** The holder of a role whose registration has expired with its lease in the key-value store. */
export interface ExpiredHolder {
  readonly role: string;
  readonly node: string;
  /** Identifies the holder's process among all processes of its member. */
  readonly incarnation: string;
  readonly term: number;
  /** Steady time in ms at which this process first saw that the holder is not registered. */
  readonly expiredSince: number;
}

/**
 * Decides when a failover is attempted. Terms, guards and fencing tokens ensure that each role has
 * a single holder, so a wrong decision costs availability but not safety.
 */
export interface FailoverPolicy {
  /** Returns whether a role may be claimed now from a holder whose lease has expired. */
  mayFailOver(holder: ExpiredHolder): boolean;
  /** Called when this process detects that its own registration is gone. */
  onRegistrationLost(): void;
  /**
   * Returns whether this member may not reclaim its shard now, because it has lost its registration
   * too often.
   */
  isDamped(): boolean;
}

/**
 * Policy without failure detection: a role may be claimed as soon as its holder's lease expires.
 */
export const STORE_ONLY_POLICY: FailoverPolicy = {
  mayFailOver: () => true,
  onRegistrationLost: () => undefined,
  isDamped: () => false,
};
