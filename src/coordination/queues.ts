/** Queues of the parts: work that is given to a part ahead of its free room. */

import { QUEUE_REFILL, QUEUE_S } from '../constants.js';
import type { OpenJob } from './scheduling-order.js';

/** What waits in a part beyond its free room, and what its machines finish meanwhile. */
export interface Queue {
  part: string;
  zone: string;
  waitingCpus: number;
  /** CPUs under lower work that end in a second, by the owners' estimates. */
  endingCpus: number;
}

/**
 * Tasks of a job that a part should get beyond its room: as many as end there in the next
 * seconds. A job that is overdue does not wait for the queue: the part takes the earliest first.
 */
export function queueRoom(job: OpenJob, queue: Queue): number {
  const waiting = job.overdue ? 0 : queue.waitingCpus;
  return Math.floor((queue.endingCpus * QUEUE_S - waiting) / job.spec.cpus);
}

/** Parts whose queues are short enough to be filled again: seldom, and then with many tasks. */
export function shortQueues(job: OpenJob, queues: Map<string, Queue>): Queue[] {
  const { spec } = job;
  return [...queues.values()]
    .filter((queue) => {
      if (spec.zone !== null && spec.zone !== queue.zone) return false;
      const room = queueRoom(job, queue);
      if (room <= 0) return false;
      return job.overdue || queue.waitingCpus <= room * spec.cpus * QUEUE_REFILL;
    })
    .sort((a, b) => a.waitingCpus - b.waitingCpus);
}
