/** Steps of the gang tests in the simulated cluster, and checks of how the jobs end. */
import assert from 'node:assert/strict';
import { shardRole } from '../../src/coordination/election/role-election.js';
import { FINALS, readAssignmentKey, roleKey } from '../../src/storage/keys.js';
import { stageOf as stage, type SimJob, type SimTask } from './jobs.js';
import * as requests from './await-reply.js';
import { FLEET } from './settings.js';
import type { SimWorker } from './worker.js';
import { World } from './world.js';
import { restartController } from './fault-steps.js';

/** The job id of the gang under test. */
export const GANG = 'j-000001';
/** The job id of a second job beside the gang. */
export const OTHER_JOB = 'j-000002';

/** Fields of a job that has a checkpoint every 5 s and needs 3 s to save when it is stopped. */
export const WITH_CHECKPOINTS = { checkpointS: 5, saveS: 3 };

/** Steps of simulated time, of 50 ms each, for which a request is awaited. */
const MAX_STEPS = 400;

/** s for which a killed controller stays down. */
export const RESTART_S = 4;

/** A case: the machines, what is done to a gang, and the jobs that must get done. */
export interface GangCase {
  name: string;
  /** Zones of the machines at the start, one entry for each; default: two in a and one in b. */
  zones?: string[];
  maxMachines?: number;
  act: (world: World) => Promise<void>;
  /** Jobs that every controller must report as done; default: the gang. */
  done?: string[];
}

/** Lets simulated time run until a request is answered. */
export const awaitReply = <T>(world: World, request: Promise<T>): Promise<T> =>
  requests.awaitReply(world, request, MAX_STEPS);

/** Submits a job, by default a gang; it must be accepted. */
export async function submit(
  world: World,
  id: string,
  job: Partial<SimJob>,
  at = 'n0',
): Promise<void> {
  const reply = await awaitReply(world, world.submit(id, { gang: true, ...job }, at));
  assert.equal(reply.status, 201, JSON.stringify(reply.body));
}

/** Cancels a job; the cancellation must be confirmed. */
export async function cancel(world: World, id: string, at = 'n0'): Promise<void> {
  assert.equal(stage(await awaitReply(world, world.cancel(id, at))), 'withdrawn');
}

/** Runs in steps of 0.05 s until the condition holds; fails if it does not within `limitS` seconds. */
export async function runUntil(
  world: World,
  what: string,
  limitS: number,
  condition: () => boolean,
): Promise<void> {
  for (const end = world.clock.now() + limitS * 1000; !condition();) {
    assert.ok(world.clock.now() < end, `not within ${limitS} s: ${what}`);
    await world.run(0.05);
  }
}

/** Yields the tasks of a job that machines hold, with their workers. */
export function* tasksOf(
  world: World,
  id: string,
): Generator<{ worker: SimWorker; name: string; task: SimTask }> {
  for (const worker of world.workers.values()) {
    for (const [name, task] of worker.tasks) {
      if (name.startsWith(`${id}/`)) yield { worker, name, task };
    }
  }
}

/** Returns true if a machine holds a task of the job in this state. */
export const hasTaskInState = (world: World, id: string, state: string): boolean =>
  [...tasksOf(world, id)].some(({ task }) => task.state === state);

/** Returns the starts of a gang: each time that all its tasks ran together. */
export const gangStartsOf = (world: World, id: string): World['gangStarts'] =>
  world.gangStarts.filter((one) => one.job === id);

/** Runs until a gang has started `times` times. */
export const awaitGangStart = (
  world: World,
  id: string,
  limitS: number,
  times = 1,
): Promise<void> =>
  runUntil(world, `${id} begins`, limitS, () => gangStartsOf(world, id).length >= times);

/** Returns the worker of a machine that holds a task of the job. */
export function machineOf(world: World, id: string): SimWorker {
  const [first] = tasksOf(world, id);
  assert.ok(first, `no machine holds ${id}`);
  return first.worker;
}

/** Returns the controller that holds a role, by its stored record. */
export function roleHolder(world: World, role: string): string {
  const record = world.store.entries.get(roleKey(role))?.value as { owner: string } | undefined;
  assert.ok(record, `no record of role ${role} is stored`);
  return record.owner;
}

/** Returns the shard of each assignment of a job. */
export const shardsOf = (world: World, id: string): string[] =>
  [...world.store.entries.keys()]
    .map(readAssignmentKey)
    .flatMap((assignment) => (assignment?.job === id ? [assignment.shard] : []));

/** Kills the holder of a shard that has tasks of the job, and starts it again after `RESTART_S`. */
export async function restartShardHolder(world: World, id: string): Promise<void> {
  const [shard] = shardsOf(world, id);
  assert.ok(shard, `no shard holds ${id}`);
  await restartController(world, roleHolder(world, shardRole(shard)), RESTART_S);
}

/**
 * Fails unless the jobs reach the state within `limitS` seconds. 60 s later every controller must
 * report that state, and nothing of the jobs may be left on machines or in the store.
 */
export async function assertAllEnded(
  world: World,
  ids: string[],
  state: string,
  limitS: number,
): Promise<void> {
  const waiting = new Set(ids);
  for (let passed = 0; passed < limitS && waiting.size > 0; passed += 2) {
    await world.run(2);
    for (const id of waiting) {
      if (stage(await awaitReply(world, world.poll(id))) === state) waiting.delete(id);
    }
  }
  assert.deepEqual([...waiting], [], `not ${state} within ${limitS} s`);
  // Ends are stored and ended tasks removed in batches, and a machine that hung must first send a
  // heartbeat before its tasks are removed.
  await world.run(60);
  for (const id of ids) {
    for (const [node] of world.members) {
      const reply = await awaitReply(world, world.poll(id, node));
      assert.equal(stage(reply), state, `${id} at ${node}`);
    }
    const left = [...tasksOf(world, id)].map(
      ({ worker, name }) => `${name} ${worker.machine.name}`,
    );
    assert.deepEqual(left, [], 'left on machines');
    const keys = [...world.store.entries].flatMap(([key, cell]) =>
      !key.startsWith(FINALS) && (key.includes(id) || JSON.stringify(cell.value).includes(id))
        ? [key]
        : [],
    );
    assert.deepEqual(keys, [], 'left in the store');
  }
}

/** Returns a world with a small machine for each of these zones; all have sent a heartbeat. */
export async function gangWorld(zones: string[], maxMachines?: number): Promise<World> {
  const fleet = { ...FLEET, ...(maxMachines === undefined ? {} : { maxMachines }) };
  const world = new World(1, undefined, { fleet });
  for (const zone of zones) world.addMachine('small', zone, false, 500);
  await world.run(6);
  return world;
}

/** Plays a case. Afterwards its jobs must be done, and the invariants must have held. */
export async function playGang({ zones, maxMachines, act, done }: GangCase): Promise<void> {
  const world = await gangWorld(zones ?? ['a', 'a', 'b'], maxMachines);
  await act(world);
  await assertAllEnded(world, done ?? [GANG], 'done', 300);
  assert.deepEqual(world.violations, []);
}
