/**
 * Selects the jobs that are left to miss their deadlines if the CPUs do not suffice for all jobs.
 */

/** Work that a job still needs before its deadline. */
export interface DeadlineDemand {
  /** Remaining work of all its tasks, in CPU seconds. */
  workCpuS: number;
  /** Remaining run time of one task, in seconds. */
  runS: number;
  /** Time until the deadline, in seconds; negative once it has passed. */
  dueS: number;
}

/**
 * Inserts a demand after those with as much work or less, by binary search because a burst of
 * submissions causes hundreds of demands.
 */
function insertByWork(demands: DeadlineDemand[], demand: DeadlineDemand): void {
  let start = 0;
  for (let end = demands.length; start < end;) {
    const middle = (start + end) >> 1;
    if ((demands[middle]?.workCpuS ?? 0) <= demand.workCpuS) start = middle + 1;
    else end = middle;
  }
  demands.splice(start, 0, demand);
}

/**
 * Selects the demands that are to be late, such that as many demands as possible are on time. A
 * demand with less time left than one of its tasks takes is always late. For the others, this is
 * the Moore-Hodgson algorithm: demands are added in the order of their deadlines, and whenever the
 * demands added so far cannot all be done by the latest deadline among them, the one with the most
 * work is removed.
 */
export function selectLateDemands(
  demands: readonly DeadlineDemand[],
  cpus: number,
): Set<DeadlineDemand> {
  const late = new Set<DeadlineDemand>();
  /** Demands that are on time, in ascending order of work. */
  const onTime: DeadlineDemand[] = [];
  let workCpuS = 0;
  for (const demand of [...demands].sort((a, b) => a.dueS - b.dueS)) {
    if (demand.runS > demand.dueS) {
      late.add(demand);
      continue;
    }
    insertByWork(onTime, demand);
    workCpuS += demand.workCpuS;
    while (workCpuS / Math.max(1, cpus) > demand.dueS) {
      const largest = onTime.pop();
      if (!largest) break;
      workCpuS -= largest.workCpuS;
      late.add(largest);
    }
  }
  return late;
}
