/** Defines which work is urgent. */

import { rankOf, type JobSpec } from '../../protocol/model.js';

/** Lowest rank of urgent work. Urgent work may preempt work of a lower rank. */
export const LOWEST_URGENT_RANK = rankOf('high');

/** Returns whether a job is urgent, that is, may preempt non-urgent work. */
export const isUrgent = ({ priority }: Pick<JobSpec, 'priority'>): boolean =>
  rankOf(priority) >= LOWEST_URGENT_RANK;
