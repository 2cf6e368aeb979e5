/** Gangs within their team's fair share preempt arrays that other teams run beyond theirs. */
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

/** One machine of shard p with this much free, and arrays of blue on it. */
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

/** A replica that shows an array, or a service, of `team` with so many tasks of 1 CPU on m-1. */
function running(team: string, tasks: number, kind: JobSpec['kind']): StoreReplica {
  const assignment = { team, cpus: 1, memoryGb: 1, placedCount: tasks, job: ARRAY_JOB };
  const on = Array.from({ length: tasks }, () => 'm-1');
  return {
    assignments: () => [{ ...assignment, machines: on }],
    job: () => ({ spec: { ...SPEC, kind, team } }),
  } as unknown as StoreReplica;
}

test('a claim preempts no more than what other teams run beyond their fair shares', () => {
  const cases: {
    name: string;
    team?: string;
    tasks: number;
    kind?: JobSpec['kind'];
    free?: number;
    zone?: string;
    want: Record<string, number> | null;
  }[] = [
    { name: 'enough beyond the fair share', tasks: 8, want: { blue: 4 } },
    { name: 'some capacity is free', tasks: 6, free: 2, want: { blue: 2 } },
    { name: 'too little beyond it', tasks: 7, want: null },
    { name: 'all within it', tasks: 4, want: null },
    { name: 'its own team', team: 'red', tasks: 14, want: null },
    { name: 'services stay', tasks: 8, kind: 'service', want: null },
    { name: 'not where it may go', tasks: 8, zone: 'b', want: null },
  ];
  for (const { name, team = 'blue', tasks, kind = 'array', free = 0, zone = 'a', want } of cases) {
    const fairShareReclaim = new FairShareReclaim(
      TEAMS,
      running(team, tasks, kind),
      new SimClock(),
    );
    const spec = { ...GANG, zone: 'a' };
    const plan = fairShareReclaim.find(spec, [machine(free, zone)]);
    assert.deepEqual(plan?.reclaim ?? null, want, name);
    if (want === null) continue;
    assert.deepEqual(plan?.subset, { shard: 'p', zone: 'a', count: 2 }, name);
    // What was reclaimed is not reclaimed again before it is recounted.
    assert.equal(fairShareReclaim.find(spec, [machine(free, zone)]), null, `${name}, again`);
  }
});

const ARRAY: AssignmentRecord = {
  ...PLAIN_ASSIGNMENT,
  ids: '0-2',
  live: { '0': ['m-1', 71], '1': ['m-1', 72], '2': ['m-1', 73] },
  team: 'blue',
};

/** Time of day in ms: the array came a moment ago, so that nothing protects its first tasks. */
const LATELY = Date.UTC(2100, 0);

const arrayTask = (index: number): TaskStatus => ({
  task: { job: ARRAY_JOB, index },
  attempt: 71 + index,
  state: 'running',
  cause: null,
});

test('a shard preempts only the arrays that a claim allows, and only at once', async () => {
  const cases: {
    name: string;
    reclaim?: Record<string, number>;
    lateMs?: number;
    kind?: JobSpec['kind'];
    want: string[];
  }[] = [
    { name: 'no reclaim', want: [] },
    { name: 'a reclaim', reclaim: { blue: 1 }, want: ['stop'] },
    { name: 'a larger reclaim', reclaim: { blue: 3 }, want: ['stop'] },
    { name: 'too small a reclaim', reclaim: { blue: 0.5 }, want: [] },
    { name: 'of another team', reclaim: { green: 3 }, want: [] },
    { name: 'services stay', reclaim: { blue: 3 }, kind: 'service', want: [] },
    { name: 'a reclaim of long ago', reclaim: { blue: 3 }, lateMs: 3500, want: [] },
  ];
  for (const { name, reclaim, lateMs = 0, kind = 'array', want } of cases) {
    const world = await shardFixture({
      spec: { kind: 'gang', tasks: 2 },
      held: [
        {
          key: jobKey(ARRAY_JOB),
          value: { spec: { ...SPEC, kind, team: 'blue', tasks: 3 }, at: LATELY },
        },
        { key: assignmentKey('p', ARRAY_JOB, 5), value: ARRAY },
      ],
    });
    world.state.change([{ key: assignmentKey('p', JOB, 1), remove: true }]);
    await world.clock.run(world.clock.now() + 300);
    const share = { ...GANG_ASSIGNMENT, ...(reclaim && { reclaim }) };
    world.state.change([{ key: assignmentKey('p', JOB, 1), value: share }]);
    await world.clock.run(world.clock.now() + 300 + lateMs);
    const tasks = [0, 1, 2].map(arrayTask);
    world.heartbeat({}, tasks);
    await world.reconcile(1500);
    const sent = world.sent.flatMap(({ commands }) => ops(commands)).filter((op) => op === 'stop');
    assert.deepEqual(sent, want, name);
    assert.equal(Object.keys(world.stored()?.live ?? {}).length, want.length * 2, name);
  }
});
