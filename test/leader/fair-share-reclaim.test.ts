/**
 * Capacity that a gang within its team's fair share reclaims by preempting arrays of other teams.
 * Guards against preempting more than these teams use beyond their fair shares, which happens when
 * two gangs are planned from the same counts, or when a shard acts on a plan that is out of date.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { MachineCapacity } from '../../src/coordination/capacity/machine-capacity.js';
import { FairShareReclaim } from '../../src/coordination/leader/fair-share-reclaim.js';
import type { JobSpec, TaskStatus } from '../../src/protocol/model.js';
import { assignmentKey, jobKey } from '../../src/storage/keys.js';
import type { AssignmentRecord } from '../../src/storage/records.js';
import type { StoreReplica } from '../../src/storage/store-replica.js';
import { SimClock } from '../world/clock.js';
import {
  PLAIN_ASSIGNMENT,
  GANG_ASSIGNMENT,
  JOB,
  SPEC,
  shardFixture,
  ops,
} from '../world/shard-fixture.js';

const ARRAY_JOB = 'j-000009';
const GANG: JobSpec = { ...SPEC, kind: 'gang', team: 'red', tasks: 2, cpus: 2, memoryGb: 6 };
const TEAMS = new Map(
  [
    { name: 'red', cpus: 8, cpusMax: 16, gpus: 0, gpusMax: 0 },
    { name: 'blue', cpus: 4, cpusMax: 12, gpus: 0, gpusMax: 0 },
  ].map((team) => [team.name, team]),
);

/** Returns a machine of shard p in a zone, with so many free CPUs. */
const machine = (cpus: number, zone = 'a'): MachineCapacity => ({
  name: 'm-1',
  shard: 'p',
  type: 'small',
  zone,
  spot: false,
  health: 'ok',
  cpus,
  gpus: 0,
  memoryGb: 12,
  tasks: 1,
  preemptibleCpus: 0,
  preemptibleMemoryGb: 0,
  arrayCpus: 0,
  arrayMemoryGb: 0,
});

/** Returns a replica with one job of a team, of which so many tasks of 1 CPU are placed on m-1. */
function replicaWithPlacedTasks(team: string, tasks: number, kind: JobSpec['kind']): StoreReplica {
  const assignment = { team, cpus: 1, memoryGb: 1, placedCount: tasks, job: ARRAY_JOB };
  const machines = Array.from({ length: tasks }, () => 'm-1');
  return {
    assignments: () => [{ ...assignment, machines }],
    job: () => ({ spec: { ...SPEC, kind, team } }),
  } as unknown as StoreReplica;
}

test('a gang within its fair share reclaims no more CPUs than other teams use beyond theirs', () => {
  const cases: {
    name: string;
    team?: string;
    tasks: number;
    kind?: JobSpec['kind'];
    free?: number;
    zone?: string;
    want: Record<string, number> | null;
  }[] = [
    { name: 'usage beyond the fair share suffices', tasks: 8, want: { blue: 4 } },
    { name: 'part of the capacity is free', tasks: 6, free: 2, want: { blue: 2 } },
    { name: 'usage beyond the fair share too small', tasks: 7, want: null },
    { name: 'all usage within the fair share', tasks: 4, want: null },
    { name: "excess of the gang's own team", team: 'red', tasks: 14, want: null },
    { name: 'services are not preempted', tasks: 8, kind: 'service', want: null },
    { name: 'machine in a zone that the gang may not use', tasks: 8, zone: 'b', want: null },
  ];
  for (const { name, team = 'blue', tasks, kind = 'array', free = 0, zone = 'a', want } of cases) {
    const fairShareReclaim = new FairShareReclaim(
      TEAMS,
      replicaWithPlacedTasks(team, tasks, kind),
      new SimClock(),
    );
    const spec = { ...GANG, zone: 'a' };
    const plan = fairShareReclaim.find(spec, [machine(free, zone)]);
    assert.deepEqual(plan?.reclaim ?? null, want, name);
    if (want === null) continue;
    assert.deepEqual(plan?.subset, { shard: 'p', zone: 'a', count: 2 }, name);
    // The same CPUs are not reclaimed for a second gang before the next recount.
    assert.equal(fairShareReclaim.find(spec, [machine(free, zone)]), null, `${name}, second gang`);
  }
});

const ARRAY: AssignmentRecord = {
  ...PLAIN_ASSIGNMENT,
  ids: '0-2',
  live: { '0': ['m-1', 71], '1': ['m-1', 72], '2': ['m-1', 73] },
  team: 'blue',
};

/**
 * Wall-clock time in ms at which the array is accepted, later than the simulated time. The array
 * thus does not count as one that began late, whose tasks are not preempted shortly after their
 * start.
 */
const ACCEPTED_AT = Date.UTC(2100, 0);

const arrayTask = (index: number): TaskStatus => ({
  task: { job: ARRAY_JOB, index },
  attempt: 71 + index,
  state: 'running',
  cause: null,
});

test('a shard preempts arrays for a gang only up to its reclaimable CPUs, and not after 3 s', async () => {
  const cases: {
    name: string;
    reclaim?: Record<string, number>;
    delayMs?: number;
    kind?: JobSpec['kind'];
    want: string[];
  }[] = [
    { name: 'nothing reclaimable', want: [] },
    { name: '1 CPU reclaimable', reclaim: { blue: 1 }, want: ['stop'] },
    { name: '3 CPUs reclaimable, 1 needed', reclaim: { blue: 3 }, want: ['stop'] },
    { name: 'reclaimable CPUs too few for a task', reclaim: { blue: 0.5 }, want: [] },
    { name: 'CPUs of another team reclaimable', reclaim: { green: 3 }, want: [] },
    { name: 'services are not preempted', reclaim: { blue: 3 }, kind: 'service', want: [] },
    { name: 'reclaimable more than 3 s ago', reclaim: { blue: 3 }, delayMs: 3500, want: [] },
  ];
  for (const { name, reclaim, delayMs = 0, kind = 'array', want } of cases) {
    const world = await shardFixture({
      spec: { kind: 'gang', tasks: 2 },
      records: [
        {
          key: jobKey(ARRAY_JOB),
          value: { spec: { ...SPEC, kind, team: 'blue', tasks: 3 }, at: ACCEPTED_AT },
        },
        { key: assignmentKey('p', ARRAY_JOB, 5), value: ARRAY },
      ],
    });
    world.store.change([{ key: assignmentKey('p', JOB, 1), remove: true }]);
    await world.clock.run(world.clock.now() + 300);
    const assignment = { ...GANG_ASSIGNMENT, ...(reclaim && { reclaim }) };
    world.store.change([{ key: assignmentKey('p', JOB, 1), value: assignment }]);
    await world.clock.run(world.clock.now() + 300 + delayMs);
    const tasks = [0, 1, 2].map(arrayTask);
    world.heartbeat({}, tasks);
    await world.reconcile(1500);
    const sent = world.sent.flatMap(({ commands }) => ops(commands)).filter((op) => op === 'stop');
    assert.deepEqual(sent, want, name);
    assert.equal(Object.keys(world.stored()?.live ?? {}).length, want.length * 2, name);
  }
});
