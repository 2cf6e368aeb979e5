/** Constants, each with unit and reason. Leases, leader election, shard ownership, and the numbers that a term gives out. */

/** ms; time to live of a member's lease: a controller that is killed is mostly back before it
 * expires, and claims its own shard again; with 3.5 s every restart moved its shard away and back. */
export const MEMBER_LEASE_TTL_MS = 6_000;

/** ms; interval of lease renewals, so three may fail before the lease expires. */
export const MEMBER_LEASE_RENEW_MS = 1_500;

/** ms; a preferred owner reclaims its shard from a live holder only this long after its own start. */
export const PREFERRED_OWNER_SETTLE_MS = 500;

/** ms; a controller that has just started leaves the leader role to better candidates that may be
 * starting too: two of their renewal intervals at the most. */
export const LEADER_SETTLE_MS = 3_000;

/** ms; a role that moved between controllers longer ago, by the time of day, has no former holder
 * that still answers: far longer than any grace, clock skew and transaction delay together. */
export const FORMER_HOLDER_GONE_MS = 300_000;

/** ms; safety on top of computed lease expiries: timers fire late and answers take time. */
export const LEASE_MARGIN_MS = 1_000;

/** s; what must remain between the expiry of the last possible lease and `cancel_s`. */
export const CANCEL_MARGIN_S = 5;

/** Share of the time between lease and `cancel_s` that this margin may take at the most. */
export const CANCEL_MARGIN_SHARE = 0.4;

/** Watches return within this share of the grace, so that a working holder's replica stays current. */
export const WATCH_GRACE_SHARE = 0.25;

/** ms; a holder that stepped down and whose role nobody claimed continues under a new term after
 * this: whoever asked it to step down claims the role in its next reconcile, within a second. */
export const STEP_DOWN_UNCLAIMED_MS = 4_000;

/** Fencing token = term × this + increment, so that one machine can be fenced without a write. */
export const FENCING_TOKENS_PER_TERM = 2 ** 16;

/** Attempt = (term × SHARDS_PER_TERM + shard's number) × ATTEMPT_STEP + counter, never used twice. */
export const SHARDS_PER_TERM = 64;
export const ATTEMPT_STEP = 2 ** 20;
