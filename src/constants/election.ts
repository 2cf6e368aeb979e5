/** Constants of leader election, member leases and the numbers that belong to a term. */

/**
 * Time to live of a member's lease in ms. A controller that is killed usually restarts before its
 * lease expires and claims its own shard again. With 3.5 s each restart moved the shard away and
 * back.
 */
export const MEMBER_LEASE_TTL_MS = 6_000;

/** Interval of lease renewals in ms. Three in a row may fail before the lease expires. */
export const MEMBER_LEASE_RENEW_MS = 1_500;

/**
 * Minimum time in ms since its own start before a preferred holder reclaims its shard from a live
 * holder.
 */
export const PREFERRED_HOLDER_SETTLE_MS = 500;

/**
 * Time in ms since its own start during which a controller leaves the leader role to candidates
 * that rank higher, because they may be starting too. At most two lease renewal intervals.
 */
export const LEADER_SETTLE_MS = 3_000;

/**
 * Time in ms since a role's last failover, by wall-clock time, after which its former holder
 * certainly no longer answers. Far longer than grace, clock skew and transaction delay together.
 */
export const FORMER_HOLDER_GONE_MS = 300_000;

/** Time in ms added to a computed lease expiry, because timers fire late and responses take time. */
export const LEASE_MARGIN_MS = 1_000;

/**
 * Time in s that must remain between the expiry of the last possible worker lease and `cancel_s`.
 * `CANCEL_MARGIN_MAX_FRACTION` limits it.
 */
export const CANCEL_MARGIN_S = 5;

/**
 * Maximum of `CANCEL_MARGIN_S` as a fraction of the time between the lease's expiry and `cancel_s`.
 */
export const CANCEL_MARGIN_MAX_FRACTION = 0.4;

/**
 * Maximum duration of a watch without changes, as a fraction of the grace, so that a working
 * holder's replica stays current.
 */
export const WATCH_GRACE_FRACTION = 0.25;

/**
 * Time in ms after which a holder that stepped down continues under a new term if no other
 * controller has claimed its role. The controller that requested the step-down claims the role in
 * its next reconcile, within a second.
 */
export const STEP_DOWN_UNCLAIMED_MS = 4_000;

/**
 * Number of fencing tokens in a term. A fencing token is the term times this number plus an offset.
 * Raising the offset fences a single machine without a write to the key-value store.
 */
export const FENCING_TOKENS_PER_TERM = 2 ** 16;

/**
 * Number of ranges of attempt numbers in a term. An attempt number is
 * (term × `SHARDS_PER_TERM` + shard number) × `ATTEMPT_RANGE_SIZE` + counter, so that no attempt
 * number is used twice. The leader has the last range of a term, for gangs.
 */
export const SHARDS_PER_TERM = 64;

/** Size of the range of attempt numbers that a shard, or the leader, has in a term. */
export const ATTEMPT_RANGE_SIZE = 2 ** 20;
