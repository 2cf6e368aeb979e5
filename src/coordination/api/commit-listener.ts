/** Listener to committed submissions and cancellations. */

/**
 * Called after a transaction that created or cancelled jobs was committed, with the ids of these
 * jobs. `cancelled`: the transaction cancelled a single job, which has this many tasks; absent: it
 * created the jobs.
 */
export type CommitListener = (jobs: string[], cancelled?: { tasks: number }) => void;
