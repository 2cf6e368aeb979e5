/** How much of its team's quota lower-priority work may use, beside the reserve for urgent work. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { STARVATION_MS } from '../../src/constants/leader.js';
import { AssignmentHistory } from '../../src/coordination/leader/assignment-history.js';
import { ShardAssignment } from '../../src/coordination/leader/shard-assignment.js';
import type { OpenJob } from '../../src/coordination/leader/scheduling-order.js';
import { SimClock } from '../world/clock.js';
import { SPEC } from '../world/shard-fixture.js';

const TASKS = 8;
const RESERVE = 4;
const OPEN: OpenJob = {
  id: SPEC.id,
  spec: { ...SPEC, tasks: TASKS },
  acceptedAt: 0,
  unassigned: TASKS,
  done: 0,
  placed: 0,
  isWithinFairShare: false,
  deadlineTier: 0,
  isStartOverdue: false,
};

/** How many tasks are allowed with so many CPUs left of the quota, after so long without any. */
function allowedTasks(remaining: number, starvedMs: number): number {
  let allowed = 0;
  const history = new AssignmentHistory();
  history.checkStarved(OPEN, 0);
  const assignment = new ShardAssignment({
    teamQuota: {
      remaining: () => ({ cpus: remaining, gpus: 0 }),
      urgentReserve: () => RESERVE,
      recordUse: () => undefined,
      recordWaiting: () => undefined,
    } as never,
    history,
    distribution: {
      distribute: (_job: OpenJob, count: number) => {
        allowed = count;
        return { assignments: [], assigned: 0, queued: 0 };
      },
    } as never,
    clock: new SimClock(),
  });
  const cycle = { startedAt: starvedMs, assignments: [], unmetDemand: [], machines: [] };
  assignment.assign(OPEN, cycle as never);
  return allowed;
}

test('lower-priority work leaves the reserve alone, except for a share of jobs starved by it', () => {
  const cases: [string, number, number, number][] = [
    ['the reserve stays untouched', 10, 0, 6],
    ['only the reserve is left', 3, 0, 0],
    // A starved job got only a quarter of its tasks, however much capacity there was.
    ['starved, though there is quota left beside the reserve', 10, STARVATION_MS + 1, 6],
    ['starved because of the reserve', 3, STARVATION_MS + 1, 2],
    ['starved, and little is left at all', 1, STARVATION_MS + 1, 1],
  ];
  for (const [name, remaining, starvedMs, want] of cases) {
    assert.equal(allowedTasks(remaining, starvedMs), want, name);
  }
});
