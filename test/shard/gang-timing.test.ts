/** Decisions of a shard by the workers' times for gangs, `gang_wait_s` and `gang_peer_s`. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { TaskStatus } from '../../src/protocol/model.js';
import { assignmentKey, jobKey } from '../../src/storage/keys.js';
import type { AssignmentRecord } from '../../src/storage/records.js';
import {
  GANG_ATTEMPT,
  GANG_ASSIGNMENT,
  PLAIN_ASSIGNMENT,
  JOB,
  SPEC,
  shardFixture,
  ops,
  heartbeatOf,
  type ShardFixture,
} from '../world/shard-fixture.js';

const URGENT_JOB = 'j-000002';

const shown = (index: number, state: TaskStatus['state'] = 'running'): TaskStatus => ({
  task: { job: JOB, index },
  attempt: GANG_ATTEMPT,
  state,
  cause: state === 'exited' ? 'peerLost' : null,
});

/** A shard with a gang of so many tasks, of which it has two; `other`: the assignment of another shard. */
async function gang(
  tasks: number,
  checkpointS: number,
  other?: AssignmentRecord,
): Promise<ShardFixture> {
  const world = await shardFixture({ spec: { kind: 'gang', tasks, checkpointS, saveS: 2 } });
  world.state.change([{ key: assignmentKey('p', JOB, 1), remove: true }]);
  await world.clock.run(world.clock.now() + 300);
  world.state.change([
    { key: assignmentKey('p', JOB, 1), value: GANG_ASSIGNMENT },
    ...(other ? [{ key: assignmentKey('q', JOB, 2), value: other }] : []),
  ]);
  await world.clock.run(world.clock.now() + 300);
  world.heartbeat();
  await world.reconcile();
  return world;
}

/** Answers all direct calls so far with a heartbeat of these tasks. */
function answerCalls(world: ShardFixture, tasks: TaskStatus[]): void {
  world.answer({}, tasks);
  for (const { done } of world.sent.splice(0)) {
    done(heartbeatOf({ sequence: 0, fencingToken: 0, tasks }));
  }
}

/** Runs on for so long, with a heartbeat each second; returns the stops that were sent. */
async function stopsWithin(
  world: ShardFixture,
  seconds: number,
  tasks: TaskStatus[],
): Promise<string[]> {
  const stops: string[] = [];
  const note = (list: string[]): void => void stops.push(...list.filter((op) => op === 'stop'));
  for (let passed = 0; passed < seconds && stops.length === 0; passed++) {
    note(ops(world.heartbeat({}, tasks)));
    await world.reconcile(1000);
    note(world.sent.flatMap(({ commands }) => ops(commands)));
  }
  return stops;
}

test('a gang that gathers until just before its tasks give up is stopped as a whole', async () => {
  const cases: [string, TaskStatus['state'][], number, number][] = [
    ['all wait for a task elsewhere', ['gathering', 'gathering'], 34, 2],
    ['not before', ['gathering', 'gathering'], 30, 0],
    ['one still fetches', ['gathering', 'fetching'], 34, 2],
    ['it runs', ['running', 'running'], 34, 0],
  ];
  for (const [name, states, seconds, want] of cases) {
    const live = {
      '2': ['m-8', GANG_ATTEMPT],
      '3': ['m-9', GANG_ATTEMPT],
    } as AssignmentRecord['live'];
    const world = await gang(4, 5, { ...GANG_ASSIGNMENT, ids: '2-3', live });
    const tasks = states.map((state, index) => shown(index, state));
    answerCalls(world, tasks);
    assert.equal((await stopsWithin(world, seconds, tasks)).length, want, name);
  }
});

test('nobody is stopped before the other shards can know of it', async () => {
  const live = {
    '2': ['m-8', GANG_ATTEMPT],
    '3': ['m-9', GANG_ATTEMPT],
  } as AssignmentRecord['live'];
  const world = await gang(4, 5, { ...GANG_ASSIGNMENT, ids: '2-3', live });
  answerCalls(world, [shown(0), shown(1)]);
  await stopsWithin(world, 2, [shown(0), shown(1)]);
  world.state.hasOutage = true;
  const left = [shown(0, 'exited'), shown(1)];
  assert.deepEqual(await stopsWithin(world, 6, left), [], 'in the outage');
  assert.equal(world.stored()?.stopping, undefined);
  world.state.endOutage();
  assert.deepEqual(await stopsWithin(world, 6, left), ['stop']);
  assert.equal(world.stored()?.stopping, true);
});

test('a gang is preempted for urgent work only where that loses little', async () => {
  const cases: {
    name: string;
    checkpointS: number;
    ranS: number;
    /** Whether the machine answers calls. */
    reachable: boolean;
    want: number;
  }[] = [
    { name: 'all can be told', checkpointS: 60, ranS: 20, reachable: true, want: 2 },
    { name: 'one can not be told', checkpointS: 60, ranS: 20, reachable: false, want: 0 },
    { name: 'it began a moment ago', checkpointS: 60, ranS: 2, reachable: false, want: 2 },
    { name: 'a checkpoint is never far', checkpointS: 4, ranS: 20, reachable: false, want: 2 },
    { name: 'it never saves', checkpointS: 0, ranS: 20, reachable: false, want: 2 },
  ];
  for (const { name, checkpointS, ranS, reachable, want } of cases) {
    const world = await gang(2, checkpointS);
    const tasks = [shown(0), shown(1)];
    if (reachable) answerCalls(world, tasks);
    await stopsWithin(world, ranS, tasks);
    const urgent = { ...SPEC, id: URGENT_JOB, priority: 'high' as const, cpus: 3 };
    world.state.change([
      { key: jobKey(URGENT_JOB), value: { spec: urgent, at: world.clock.wall() } },
      { key: assignmentKey('p', URGENT_JOB, 9), value: { ...PLAIN_ASSIGNMENT, ids: '0', cpus: 3 } },
    ]);
    await world.clock.run(world.clock.now() + 300);
    assert.equal((await stopsWithin(world, 2, tasks)).length, want, name);
  }
});
