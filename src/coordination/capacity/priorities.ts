/** Which work is urgent. */

import { rankOf, type JobSpec } from '../../protocol/model.js';

/** Work of this rank or above is urgent: it preempts what ranks below. */
export const URGENT = rankOf('high');

/** Whether a job may preempt work of lower rank. */
export const isUrgent = ({ priority }: Pick<JobSpec, 'priority'>): boolean =>
  rankOf(priority) >= URGENT;
