/** Selects which jobs may miss their deadlines where not all of them can be in time. */

/** What a job still needs of the fleet until its deadline; times in seconds from now. */
export interface DeadlineDemand {
  /** CPU seconds. */
  workCpuS: number;
  /** Run time of one task. */
  runS: number;
  dueS: number;
}

/** Inserts a demand behind those with as much work or less: a burst brings hundreds of demands. */
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
 * Which demands to let be late so that most of them are in time, by the algorithm of Moore and
 * Hodgson: in the order of the deadlines, and whenever one would be late, the largest so far is
 * taken out.
 */
export function selectLateDemands(
  demands: readonly DeadlineDemand[],
  cpus: number,
): Set<DeadlineDemand> {
  const late = new Set<DeadlineDemand>();
  /** Demands that are in time, the one with the most work last. */
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
