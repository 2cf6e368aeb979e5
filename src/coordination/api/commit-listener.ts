/** Listener to committed submissions and cancellations. */

/**
 * Called after each commit with the ids of its jobs. `cancelled`: the commit cancelled the only
 * job, which has this many tasks.
 */
export type CommitListener = (jobs: string[], cancelled?: { tasks: number }) => void;
