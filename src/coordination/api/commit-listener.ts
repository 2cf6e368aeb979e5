/** The listener to committed submissions and cancellations. */

/** Called with the ids of the jobs of each commit; `cancelled`: the job was cancelled by it. */
export type CommitListener = (jobs: string[], cancelled?: { tasks: number }) => void;
