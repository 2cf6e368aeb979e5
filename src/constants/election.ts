/** Constants, each with unit and reason. Leases, leader election, shard ownership, and the numbers that a term gives out. */

/** ms; life of a member's lease: a node that is killed is mostly back before it ends, and takes its
 * own part again; with 3.5 s every restart moved its part away and back. */
export const MEMBER_LEASE_TTL_MS = 6_000;

/** ms; renewals are sent this often, so three may fail before the lease ends. */
export const MEMBER_LEASE_RENEW_MS = 1_500;

/** ms; a node leaves a role to its home member this long after the member came up. */
export const PREFERRED_OWNER_SETTLE_MS = 500;

/** ms; a node that has just started leaves the lead to others that may be starting too, by their
 * order: two of their turns at the most. */
export const LEADER_SETTLE_MS = 3_000;

/** ms; a role that came from another node longer ago, by the time of day, has no former owner that
 * still answers: far longer than any grace, skew and delay of a transaction together. */
export const FORMER_HOLDER_GONE_MS = 300_000;

/** ms; safety on top of computed lease ends: timers fire late and answers take time. */
export const LEASE_MARGIN_MS = 1_000;

/** s; what must remain between the end of the last possible lease and `cancel_s`. */
export const CANCEL_MARGIN_S = 5;

/** Share of the time between lease and `cancel_s` that this margin may take at the most. */
export const CANCEL_MARGIN_SHARE = 0.4;

/** Watches return within this share of the grace, so that a working owner always stays current. */
export const WATCH_GRACE_SHARE = 0.25;

/** ms; a holder that stood down and that nobody followed goes on under a new term after this: the one
 * that asked for it takes the role with its next round, within a second. */
export const STEP_DOWN_UNCLAIMED_MS = 4_000;

/** Token = term × this + bump, so that one machine can be fenced without a write. */
export const FENCING_TOKENS_PER_TERM = 2 ** 16;

/** Attempt = (term × ATTEMPT_PARTS + part's number) × ATTEMPT_STEP + counter, never used twice. */
export const SHARDS_PER_TERM = 64;
export const ATTEMPT_STEP = 2 ** 20;
