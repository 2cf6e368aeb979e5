/** Selects which jobs may miss their deadlines where not all can meet them. */

/** What a job still needs until its deadline; times in seconds from now. */
export interface DeadlineDemand {
  /** CPU seconds. */
  workCpuS: number;
  /** Run time of one task. */
  runS: number;
  dueS: number;
}

/**
 * Inserts a demand behind those with as much work or less. By binary search: a burst brings
 * hundreds of demands.
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
 * Selects the demands to be late so that as many as possible are on time, by the algorithm of Moore
 * and Hodgson: they are taken in the order of their deadlines, and whenever one would be late, the
 * one with the most work so far is dropped.
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
