/** When a role may fail over from a holder whose lease has expired. */

/** A holder of a role whose registration in the key-value store has expired with its lease. */
export interface ExpiredHolder {
  readonly role: string;
  readonly node: string;
  /** Tells the holder's process from others of the same member. */
  readonly incarnation: string;
  readonly term: number;
  /** Steady time in ms since which this process has seen that the holder is not registered. */
  readonly expiredSince: number;
}

/**
 * Decides when a failover is attempted. Its safety rests on terms, guards and fences alone, whatever
 * a policy says.
 */
export interface FailoverPolicy {
  /** Whether a role may be claimed now from a holder whose lease has expired. */
  mayFailOver(holder: ExpiredHolder): boolean;
  /** Called when this process finds its own registration lost. */
  onRegistrationLost(): void;
  /** Whether this member lost its registration so often that it leaves its shard with a live holder. */
  isDamped(): boolean;
}

/** Lease expiry in the key-value store alone decides. */
export const STORE_ONLY_POLICY: FailoverPolicy = {
  mayFailOver: () => true,
  onRegistrationLost: () => undefined,
  isDamped: () => false,
};
