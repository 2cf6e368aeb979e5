/** Gangs in the simulated cluster: the steps of their scripts, and the checks of their ends. */
import assert from 'node:assert/strict';
import { shardRole } from '../../src/coordination/election/role-election.js';
import { FINALS, readAssignmentKey, roleKey } from '../../src/storage/keys.js';
import { stageOf as stage, type SimJob, type SimTask } from './jobs.js';
import * as requests from './await-reply.js';
import { FLEET } from './settings.js';
import type { SimWorker } from './worker.js';
import { World } from './world.js';
import { restartController } from './fault-steps.js';

/** The gang that a row is about, and a second job beside it. */
export const GANG = 'j-000001';
export const OTHER = 'j-000002';

/** What a gang needs to save its progress. */
export const WITH_CHECKPOINTS = { checkpointS: 5, saveS: 3 };

/** Turns after which a request counts as unanswered. */
const MAX_STEPS = 400;

/** s for which a killed controller is down. */
export const RESTART_S = 4;

/** A gang, what happens to it, and the jobs that must get done. */
export interface GangCase {
  name: string;
  /** Zones of the machines that are there at the start; default: two and one. */
  zones?: string[];
  maxMachines?: number;
  act: (world: World) => Promise<void>;
  /** Jobs that must get done, asked at every controller; default: the gang. */
  done?: string[];
}

/** Lets simulated time run until a request is answered. */
export const awaitReply = <T>(world: World, request: Promise<T>): Promise<T> =>
  requests.awaitReply(world, request, MAX_STEPS);

/** Submits a job, a gang unless told otherwise; it must be accepted. */
export async function submit(
  world: World,
  id: string,
  job: Partial<SimJob>,
  at = 'n0',
): Promise<void> {
  const reply = await awaitReply(world, world.submit(id, { gang: true, ...job }, at));
  assert.equal(reply.status, 201, JSON.stringify(reply.body));
}

/** Cancels a job; that must be confirmed. */
export async function cancel(world: World, id: string, at = 'n0'): Promise<void> {
  assert.equal(stage(await awaitReply(world, world.cancel(id, at))), 'withdrawn');
}

/** Runs on in small steps until something is so; what never comes fails the row. */
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

/** The tasks of a job, with their machines. */
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

/** Whether a task of the job is in this state. */
export const hasTaskInState = (world: World, id: string, state: string): boolean =>
  [...tasksOf(world, id)].some(({ task }) => task.state === state);

/** The times at which a gang began. */
export const gangStartsOf = (world: World, id: string): World['gangStarts'] =>
  world.gangStarts.filter((one) => one.job === id);

/** Runs on until a gang has begun so many times. */
export const awaitGangStart = (
  world: World,
  id: string,
  limitS: number,
  times = 1,
): Promise<void> =>
  runUntil(world, `${id} begins`, limitS, () => gangStartsOf(world, id).length >= times);

/** The machine of one of its tasks. */
export function machineOf(world: World, id: string): SimWorker {
  const [first] = tasksOf(world, id);
  assert.ok(first, `no machine holds ${id}`);
  return first.worker;
}

/** The controller that holds a role. */
export function roleHolder(world: World, role: string): string {
  const record = world.store.entries.get(roleKey(role))?.value as
    { roleHolder: string } | undefined;
  assert.ok(record, `nobody holds ${role}`);
  return record.roleHolder;
}

/** The shards that hold something of a job. */
export const shardsOf = (world: World, id: string): string[] =>
  [...world.store.entries.keys()]
    .map(readAssignmentKey)
    .flatMap((assignment) => (assignment?.job === id ? [assignment.shard] : []));

/** Kills the controller that owns a shard with tasks of the job; it is back after `RESTART_S`. */
export async function restartShardOwner(world: World, id: string): Promise<void> {
  const [shard] = shardsOf(world, id);
  assert.ok(shard, `no shard holds ${id}`);
  await restartController(world, roleHolder(world, shardRole(shard)), RESTART_S);
}

/** All is over: the state at every controller, and nothing of it left on machines or in the store. */
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
  // Ends are written and forgotten in groups; machines that hung must send a heartbeat first.
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

/** A world with small machines in these zones, that reported already. */
export async function gangWorld(zones: string[], maxMachines?: number): Promise<World> {
  const fleet = { ...FLEET, ...(maxMachines === undefined ? {} : { maxMachines }) };
  const world = new World(1, undefined, { fleet });
  for (const zone of zones) world.addMachine('small', zone, false, 500);
  await world.run(6);
  return world;
}

/** Plays a row; afterwards its jobs must be done, and the rules have held. */
export async function playGang({ zones, maxMachines, act, done }: GangCase): Promise<void> {
  const world = await gangWorld(zones ?? ['a', 'a', 'b'], maxMachines);
  await act(world);
  await assertAllEnded(world, done ?? [GANG], 'done', 300);
  assert.deepEqual(world.violations, []);
}
