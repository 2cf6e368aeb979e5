/**
 * Every constant of the program, with unit and reason. What an operator may want to change is a
 * default of the operators' settings in `protocol/settings.ts`; what a deployment decides comes
 * from its settings file or from the cloud's catalogue.
 */

/** This program's version, as package.json has it; a test compares the two. */
export const VERSION = '0.1.0';

// --- Protocol bounds -------------------------------------------------------------------------

/** Bytes; the protocol's limit for a request body. */
export const MAX_BODY_BYTES = 64 * 1024;
/** Tasks; the protocol's limit for one job. */
export const MAX_TASKS = 100_000;
/** Ratio; the protocol's bound for the drift between two steady clocks, doubled for two of them. */
export const CLOCK_DRIFT = 0.001;
/** Machines; the protocol's limit for one rental request. */
export const RENT_MAX = 50;
/** Machines; the protocol's limit for one return request. */
export const RETURN_MAX = 100;
/** Machines; the protocol's limit for one page of the machine list. */
export const LIST_PAGE = 500;
/** Guards for each put that the state service allows in one transaction. */
export const GUARDS_PER_OP = 4;
/** Changes that the state service keeps for watches; a reading of all keys that took longer must be
 * begun anew. */
export const STORE_CHANGES_KEPT = 10_000;
/** Bytes; a transaction may hold 64 KiB; the rest is room for names and punctuation. */
export const TRANSACTION_BYTES = 56 * 1024;

// --- Time ------------------------------------------------------------------------------------

/** ms; a state request is given up after this: answers take 10 ms, now and then a few hundred. */
export const STORE_TIMEOUT_MS = 2_000;
/** ms; cloud requests carry no one who waits, so they may take longer. */
export const CLOUD_TIMEOUT_MS = 8_000;
/** ms; life of a member's lease: a node that is killed is mostly back before it ends, and takes its
 * own part again; with 3.5 s every restart moved its part away and back. */
export const MEMBER_TTL_MS = 6_000;
/** ms; renewals are sent this often, so three may fail before the lease ends. */
export const MEMBER_RENEW_MS = 1_500;
/** ms; a watch returns after this without a change, which confirms that the replica is current. */
export const WATCH_HOLD_MS = 1_000;
/** ms; least time between two watch requests, where the limits allow so many: changes close
 * together share one answer. */
export const WATCH_SPACING_MS = 60;
/** ms; first and longest pause after a failed request; the pause doubles in between. */
export const BACKOFF_FIRST_MS = 100;
export const BACKOFF_LAST_MS = 2_000;
/** ms; first and longest pause of what the state service called invalid: it stays so until limits or
 * records change, and others should not wait for it. */
export const REJECTED_PAUSE_FIRST_MS = 2_000;
export const REJECTED_PAUSE_LAST_MS = 60_000;
/** ms; the same for the cloud, whose requests nobody waits for. */
export const CLOUD_BACKOFF_FIRST_MS = 500;
export const CLOUD_BACKOFF_LAST_MS = 8_000;
/** ms; a node leaves a role to its home member this long after the member came up. */
export const PREFERRED_OWNER_SETTLE_MS = 500;
/** ms; a node that has just started leaves the lead to others that may be starting too, by their
 * order: two of their turns at the most. */
export const LEADER_SETTLE_MS = 3_000;
/** ms; a role that came from another node longer ago, by the time of day, has no former owner that
 * still answers: far longer than any grace, skew and delay of a transaction together. */
export const MOVED_LONG_MS = 300_000;
/** ms; safety on top of computed lease ends: timers fire late and answers take time. */
export const LEASE_MARGIN_MS = 1_000;
/** s; what must remain between the end of the last possible lease and `cancel_s`. */
export const CANCEL_MARGIN_S = 5;
/** Share of the time between lease and `cancel_s` that this margin may take at the most. */
export const CANCEL_MARGIN_SHARE = 0.4;
/** Watches return within this share of the grace, so that a working owner always stays current. */
export const WATCH_GRACE_SHARE = 0.25;
/** ms; pace of the roles' loops when nothing woke them. */
export const LOOP_MS = 300;
/** ms; pace of the loop that keeps this node's lease and takes free roles; changes of roles wake it.
 * A third of the time between two renewals. */
export const ROLES_MS = 500;
/** ms; pace of the leader's loops on a node that does not lead; taking the role wakes them. */
export const LOOP_IDLE_MS = 2_000;
/** ms; a loop woken by changes waits this long, so that changes close together share a round. */
export const LOOP_GATHER_MS = 40;
/** ms; placements of lower work wait this long for others: a fiftieth of a short task where writes
 * are scarce, hardly at all where they are not. */
export const PLACE_GATHER_MS = { plenty: 60, scarce: 500, short: 1_200 };
/** ms; ends of tasks wait this long for others of their chunk. The last ends of a chunk wait only as
 * long as placements: users expect `done` within 3 s. */
export const DONE_GATHER_MS = { plenty: 300, scarce: 2_500, short: 5_000 };
/** ms; changes of lower work older than this queue for the store's limits like all others; younger
 * ones give way to urgent work. */
export const YIELD_MS = 3_000;
/** ms; a part looks this often for machines that are dead or gone. */
export const SWEEP_MS = 250;
/** ms; a part writes what became of its machines this often at the most. */
export const STATUS_PACE_MS = { plenty: 500, scarce: 2_000, short: 3_000 };
/** ms; the leader's loop waits this long, since its rounds look at all machines and open jobs: a
 * tenth of a second of a start aim of some seconds, for ten rounds a second at the most. */
export const LEADER_GATHER_MS = 100;
/** ms; pace of the fleet's loop: a boot takes a hundred times as long. */
export const AUTOSCALER_MS = 600;
/** ms; without an open job for so long no headroom is kept: nothing would ever return its machines. */
export const HEADROOM_QUIET_MS = 25_000;
/** ms; lower work that came within this time tells how much will: some dozens of jobs. */
export const ARRIVALS_MS = 90_000;
/** Part of it that the fleet is kept ready for: with all of it the price rose by a seventh. */
export const COMING_SHARE = 0.8;
/** ms; the leader's sums are made anew this often: decimals added and taken back drift by 1e-13 a
 * change, far below what a task takes. */
export const ACCOUNTING_REBUILD_MS = 10_000;
/** Times its own processor time that a woken round rests, so that a large fleet's rounds leave most
 * of a slow processor to reports and answers. */
export const LOOP_REST = 9;
/** ms; a node logs this often what it asked of the state service. */
export const USE_LOG_MS = 20_000;
/** ms; submissions that come within this time share a transaction; checks too, at the least. */
export const GROUP_COMMIT_MS = 15;
/** ms; how long users wait for the answer to a poll, and to a submission or cancellation. */
export const POLL_WAIT_MS = 2_000;
export const SUBMIT_WAIT_MS = 5_000;
/** ms; a poll may wait this long for its check before it is answered 503 (users wait 2 s). */
export const POLL_LIMIT_MS = 1_700;
/** ms; a poll waits this long for a watch sent after it came: two or three of them where there are
 * changes all the time. Where there are none it asks the state service itself. */
export const WATCHED_MS = 450;
/** ms; whatever was tried, a user is told after this that nothing is known: a tenth of the wait is left
 * for the way to the user and for a process that lags. */
export const POLL_ANSWER_MS = 1_850;
export const SUBMIT_ANSWER_MS = 4_700;
/** ms; a request is relayed to the next peer as well after `hedgeMs`, and given up after `limitMs`: the
 * rest of the user's time is this node's. Changes are commits, which take longer than answers. */
export const RELAYED_POLL_MS = { hedgeMs: 400, limitMs: 1_300 };
export const RELAYED_CHANGE_MS = { hedgeMs: 1_200, limitMs: 2_500 };
/** ms; a node that is short of writes asks one peer alone: a second commit of the same job would cost
 * the others writes as well. */
export const RELAYED_COMMIT_MS = { hedgeMs: 2_500, limitMs: 2_500 };
/** ms; a check that waited this long for its request goes before decisions: a third of the time that a
 * poll has. Few requests are needed, since many checks share one. */
export const CHECK_OVERDUE_MS = 500;
/** ms; a submission or cancellation may wait this long for its commit (users wait 5 s). */
export const SUBMIT_LIMIT_MS = 4_200;
/** s; what a user is told to wait before asking again. */
export const RETRY_AFTER_S = 1;
/** ms; a worker that comes back within this time after a redirect could not reach the owner. */
export const REDIRECT_RETRY_MS = 12_000;
/** ms; a relayed report must be answered well within the worker's 4 s. */
export const RELAY_TIMEOUT_MS = 2_500;
/** ms; pause before a broken peer link is tried again. */
export const PEER_RETRY_MS = 1_000;
/** ms; the leader reads the catalogue again for current spot prices. */
export const CATALOG_PERIOD_MS = 60_000;

// --- Failure detection -----------------------------------------------------------------------

/** ms; a node whose replica was current so lately counts as answered by the state service: its watches
 * return every second, and three may fail. */
export const STORE_ANSWERS_MS = 3_000;
/** ms; a holder is asked to stand down this often: an answer takes milliseconds. */
export const STEP_DOWN_RETRY_MS = 1_000;
/** ms; a holder that stood down and that nobody followed goes on under a new term after this: the one
 * that asked for it takes the role with its next round, within a second. */
export const STEP_DOWN_REST_MS = 4_000;
/** ms; half-life of what lost registrations count against a node that wants its part back. */
export const FLAP_HALF_LIFE_MS = 60_000;
/** Losses above which a node leaves its part with the one that has it: the second within a minute. */
export const FLAP_SUPPRESS = 1.5;
/** Losses, decayed, below which it takes its part back: 85 s after two. */
export const FLAP_REUSE = 0.75;
/** Losses that count at the most, so that no node is damped for longer than two minutes. */
export const FLAP_MOST = 3;
/** ms; times of probes are recorded this often. */
export const PROBE_TIMES_MS = 20_000;

// --- Sizes -----------------------------------------------------------------------------------

/** Bytes that one placed task may take in its chunk's record (number, machine, an attempt of up to 14
 * digits); bounds the tasks of a chunk. Fewer, larger chunks need fewer writes. */
export const ASSIGNMENT_TASK_BYTES = 36;
/** Bytes that a chunk's record takes beside its placed tasks: its fields, and the ranges of its tasks. */
export const ASSIGNMENT_BASE_BYTES = 250;
/** Bytes that a chunk takes in a transaction beside its placed tasks: its record, keys and guards. */
export const ASSIGNMENT_BYTES = 600;
/** Bytes that a submission takes in a transaction beside its job's record: its keys, twice. */
export const SUBMIT_BYTES = 400;
/** KiB; with smaller values a chunk of a few tasks, or a job, could not be stored. */
export const VALUE_KB_LEAST = 0.5;
/** Share of a value's limit that is filled when records are cut to it: the state service may count
 * other spaces, escapes or digits than we do. */
export const VALUE_SHARE = 0.95;
/** ms; a chunk whose parts don't fit into one transaction is looked at again after this: until then
 * some of its tasks have ended, and it is not looked at in each round. */
export const ASSIGNMENT_HOLD_MS = 1_000;
/** Submissions waiting for their commit in one node; more are told to come back. */
export const SUBMIT_QUEUE = 256;
/** Polls and checks waiting in one node; more are told to come back. */
export const CHECK_QUEUE = 512;
/** Jobs read again at a time after their checks failed: few of the sockets to the state service. */
export const REREADS_AT_ONCE = 4;
/** Final states kept in memory; older ones are read from the state service again. */
export const FINAL_CACHE = 20_000;
/** Sockets left for the state service, the cloud and peers out of the limit. */
export const RESERVED_SOCKETS = 100;
/** Share of all sockets kept for direct calls: a call takes one for some milliseconds, and it stays
 * open for the next until others need it. */
export const DIRECT_SOCKETS = 0.125;
/** Direct calls under way at once: so many answers are handled well within the time of one call, and
 * some dozens of machines that hang don't hold the others up. */
export const DIRECT_AT_ONCE = 64;
/** Share of the sockets for requests in use above which users' connections end with their answer,
 * so that workers find one: after a restart all of them come to the few nodes that are up. */
export const CROWDED_SHARE = 0.7;
/** Share of them above which workers' connections end with their answer too: 4,000 workers at the one
 * node that is up have more than its sockets, and those without one must find one in turn. */
export const FULL_SHARE = 0.9;
/** ms; an idle connection is kept so long: three reports of the slowest workers seen. */
export const KEEP_ALIVE_MS = 20_000;
/** Sockets to the state service beside the watch. */
export const STORE_SOCKETS = 16;
/** Bytes; a larger frame between peers is taken for a broken peer. */
export const PEER_FRAME_BYTES = 1024 * 1024;
/** Bytes of a failure detector's message: eight rumours with the longest names; more is dropped. */
export const DETECTOR_BYTES = 8 * 1024;
/** Least part of its equal share of the state service's limits that a node keeps when refused. */
export const STORE_LIMIT_FLOOR = 0.5;
/** Share of these limits that one node may use at the most, where the others leave it. */
export const STORE_LIMIT_SHARE = 0.8;
/** Share of a limit by which a node's part of it grows in a second in which work waits. */
export const STORE_LIMIT_GROWTH = 0.1;
/** Share of its equal part of the writes above which a node lets changes wait for others to join. */
export const STORE_SCARCE_SHARE = 0.5;
/** Share of it above which they wait longest. */
export const STORE_SHORT_SHARE = 0.85;
/** What is left of a node's part of a limit after a refusal. */
export const STORE_LIMIT_AFTER_REFUSAL = 0.7;
/** Share of the state service's requests that all members' watches may take together. */
export const WATCH_SHARE = 0.15;
/** Share of them that all members' checks for users may take together. */
export const CHECK_SHARE = 0.1;
/** Part of the usual spacing of watches that is kept where a peer says that there is news. */
export const HURRY_SHARE = 0.25;
/** Share of the cloud's request limit the leader uses; a late leader may still be sending. */
export const CLOUD_SHARE = 0.7;
/** Commands of one report answer: keeps the line far below 64 KiB. */
export const COMMANDS_MAX = 300;

// --- Tokens and attempts ---------------------------------------------------------------------

/** Token = term × this + bump, so that one machine can be fenced without a write. */
export const FENCING_TOKENS_PER_TERM = 2 ** 16;
/** Attempt = (term × ATTEMPT_PARTS + part's number) × ATTEMPT_STEP + counter, never used twice. */
export const SHARDS_PER_TERM = 64;
export const ATTEMPT_STEP = 2 ** 20;

// --- Gangs -----------------------------------------------------------------------------------

/** ms; first and longest pause before a gang that came back is handed out again: the pause doubles.
 * Its first retry follows as soon as its old attempt is proven ended. */
export const GANG_RETRY_MS = 250;
export const GANG_RETRY_MOST_MS = 20_000;
/** Images of gangs of which the leader remembers where they were last. */
export const GANG_IMAGES = 500;
/** ms; for the largest gangs that came within this time the fleet keeps room: they can't begin in the
 * room of several small jobs here and there, and a boot takes longer than they may wait. */
export const GANGS_MS = 150_000;
/** Share of what arrays take that counts as room for a gang: it is not free at once, nor all of it. */
export const GANG_ENDING_SHARE = 0.5;
/** ms; a gang waits so long before room is kept for it: most find theirs at once. */
export const GANG_KEEP_FROM_MS = 2_000;
/** ms; room is kept so long, two boots, and then for as long not. */
export const GANG_KEEP_FOR_MS = 60_000;
/** ms; an array of which nothing runs so long after it came may use the room that is kept free for
 * gangs: nobody waits long in front of a free machine. */
export const KEPT_FROM_MS = 40_000;
/** ms; a part looks this often whether it is the one that keeps room free for the next gang. */
export const GANG_RESERVING_PLACE_MS = 3_000;
/** Times its size for which a part keeps room that is to fall free for a gang: of twice as many tasks
 * half end in half the time that all of them take. */
export const GANG_KEEP_TIMES = 2;
/** ms; a part keeps room for a gang that does not fit yet for so long before it gives it back: what
 * runs there ends within the run time of a short task or two. */
export const GANG_HOLD_MS = 20_000;
/** ms; placed and waiting for the other parts of its gang so long, a part gives its share back: they
 * have had their time to find room. */
export const GANG_RESERVE_MS = 25_000;

/** s; times of gangs where the settings name none: workers' usual ones, on the careful side. */
export const GANG_WAIT_S = 30;
export const GANG_PEER_S = 4;
/** Times its nominal length that a fetch may take. */
export const FETCH_SLOWEST = 4 / 3;
/** ms; a stop reaches the shares of other parts this late at the most: a record is written and seen
 * by their watches, and their direct calls go out. */
export const SHARED_STOP_MS = 2_500;
/** s; progress since the last checkpoint that a gang may lose where its stop can't reach all of its
 * tasks in time: as little as a task that was started a moment ago. */
export const GANG_LOSS_S = 5;
/** ms; the leader counts this often at the most what teams run beyond their guarantees: it costs time
 * in proportion to all that runs, and is needed only while a gang within its guarantee waits. */
export const CLAIMS_MS = 1_000;
/** ms; a part stops other teams' work for a gang only so long after it got the gang: what a team runs
 * beyond its guarantee changes. */
export const CLAIM_VALID_MS = 3_000;

// --- Placement -------------------------------------------------------------------------------

/** Task classes the bandit tells apart; the rest share one. The design's starting value. */
export const CLASS_CAP = 20;
/** s; first pause of a job whose tasks fail on machines, doubled with each failure in a row. */
export const FAILURE_PAUSE_S = 2;
export const FAILURE_PAUSE_MAX_S = 60;
/** Errors of different jobs on one machine, without a success, that make it faulty. */
export const FAULTY_ERRORS = 3;
/** ms; a task that found no room in its part for so long goes back to the leader. */
export const RELEASE_MS = 4_000;
/** ms; lower work queued in a part ahead of its room goes back after this: three times the length
 * of a queue, so that only what the part can't run any more returns. */
export const QUEUE_RELEASE_MS = 24_000;
/** s; lower work waits in a part for the room that ends within this time: longer than the way from
 * a task's end over the leader to a new chunk, so that no machine idles and chunks are not small. */
export const QUEUE_S = 8;
/** A queue is filled again when what waits is at most so many times what is missing. */
export const QUEUE_REFILL = 1;
/** ms; a job of lower work gets more tasks assigned this often at the most, except urgent ones. Parts
 * queue `QUEUE_S` ahead, so that where writes are short larger chunks cost no idle machines. */
export const ASSIGN_PACE_MS = { plenty: 1_000, scarce: 1_500, short: 3_000 };
/** s; a job of which nothing has begun for so long comes first: the largest, which step back for
 * others, must begin within 4 minutes, of which a team at its limit or an outage may take most. */
export const BEGIN_WITHIN_S = 100;
/** Share of a job's tasks that come first for that reason; the rest keeps its turn. */
export const BEGIN_SHARE = 0.05;
/** ms; a job of lower work of which nothing ran for so long may use what its team's limit keeps for
 * urgent work: far less than users let a job wait in front of free machines. */
export const STARVED_MS = 30_000;
/** Share of its tasks that may do so at a time. */
export const STARVED_SHARE = 0.25;
/** Report intervals without a report after which a machine takes no new tasks. */
export const MISSED_HEARTBEATS = 3;
/** ms; an offer that the cloud could not fill is asked for again after this. */
export const NO_CAPACITY_PAUSE_MS = 15_000;
/** Boot times after which a machine that never reported is returned: some take several. */
export const STUCK_BOOTS = 3;
/** ms; how long a returned machine is remembered: far longer than any list is late. */
export const GONE_KEEP_MS = 300_000;
/** Silent machines returned at once at the most: more of them look like a cut, not like deaths. */
export const SILENT_RETURN_MAX = 2;
/** ms; a machine must be seen silent for so long before it counts as one of few: the words of other
 * parts take two rounds of theirs. */
export const SILENT_SETTLE_MS = 1_500;
/** Share of the fleet that may be returned for silence in that span, once silent for a lease. */
export const SILENT_RETURN_SHARE = 0.1;
/** ms; the span within which no more than that many silent machines are returned. */
export const SILENT_RETURN_PERIOD_MS = 60_000;
/** ms; at least so long past its boot time: its first report and its part's word take a while. */
export const STUCK_LEAST_MS = 30_000;
/** ms; a direct call is given up after this and its commands are fenced: workers answer at once. */
export const DIRECT_TIMEOUT_MS = 2_000;
/** Owners' estimates are often wrong by half; renting counts on tasks this much longer. */
export const ESTIMATE_MARGIN = 1.25;
/** Share of the room for lower work that counts when jobs are chosen to be late: the rest goes to
 * urgent work, to ways between tasks and to estimates that are too low. */
export const LATE_CAPACITY_SHARE = 0.75;
/** Boot times within which tasks are to be done that a machine rented now can't help in time. */
export const LATE_BOOTS = 1.5;
/** s; what a running task is taken to have left when the fleet's future room is reckoned. */
export const RUNNING_LEFT_S = 15;
/** Share of a start aim that the fetch of an image may take; the rest is for deciding and sending. */
export const FETCH_SHARE = 0.6;
/** Share of the CPUs under lower work that counts as room for urgent work. */
export const PREEMPTIBLE_SHARE = 0.5;
/** ms; failures only count as being cut off after this long without a success. */
export const REACH_DOUBT_MS = 700;
/** Times the idle time for which the cheapest room is kept at the most. */
export const IDLE_KEEP_MOST = 4;
/** Urgent jobs of the usual size for which lower work of the same team leaves room in its limit. */
export const URGENT_RESERVE = 2;
/** Share of a team's limit that this may take at the most: a large urgent job would else shut out all
 * lower work of a small team, though it already runs. */
export const RESERVE_SHARE = 0.25;
/** ms; pace at which a part looks for a little-used machine whose services could move. */
export const CONSOLIDATE_MS = 15_000;
/** ms; a replica younger than this stays: stopping it would undo its start. */
export const CONSOLIDATE_SETTLED_MS = 35_000;
/** Tasks of lower work that may be stopped more where that spares urgent work the image's fetch. */
export const IMAGE_VICTIMS = 3;
/** Share of a part's machines whose services may move in one go: one of a small fleet. */
export const CONSOLIDATE_SHARE = 0.05;
/** Share of its CPUs in use up to which a machine's services may be moved away. */
export const CONSOLIDATE_USE = 0.5;
/** Deadlines past its own after which a job that stepped back for others comes first again. */
export const AGED_DEADLINES = 3;
