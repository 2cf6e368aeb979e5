/**
 * The part of a team's quota that is reserved for urgent work. Guards against non-urgent jobs that
 * use it, against jobs that starve because only the reserve is left, and against the limit for
 * starved jobs being applied while unreserved quota is left.
 */
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

/**
 * Returns how many tasks may be assigned with `remaining` CPUs of quota, after `starvedMs` without
 * tasks.
 */
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

test('non-urgent work does not use the reserve, except for a fraction of a job that is starved by it', () => {
  const cases: [string, number, number, number][] = [
    ['the reserve is not used', 10, 0, 6],
    ['only a part of the reserve is left', 3, 0, 0],
    // A starved job once got only a quarter of its tasks, even if unreserved quota was left.
    ['starved, unreserved quota is left', 10, STARVATION_MS + 1, 6],
    ['starved, only a part of the reserve is left', 3, STARVATION_MS + 1, 2],
    ['starved, quota for one task is left', 1, STARVATION_MS + 1, 1],
  ];
  for (const [name, remaining, starvedMs, want] of cases) {
    assert.equal(allowedTasks(remaining, starvedMs), want, name);
  }
});
