/** Two overlapping faults in the simulated cluster: the steps of the scripts, and the final checks. */
import assert from 'node:assert/strict';
import type { TestContext } from 'node:test';
import { stageOf, type Reply, type SimJob } from './jobs.js';
import { awaitReply } from './await-reply.js';
import type { SimWorker } from './worker.js';
import { World, type Members } from './world.js';
import { restartController } from './fault-steps.js';

/** Two faults that overlap. After each case the invariants must hold, and all work must get done. */
export interface OverlappingFaultsCase {
  name: string;
  members?: Members;
  /** Zones of the machines that are up from the start. */
  zones?: string[];
  seeds?: number[];
  /** s from the end of the script until everything is checked. */
  recoveryS?: number;
  script: (world: World) => Promise<void>;
}

/** A job that runs until it is cancelled. */
export const SERVICE: Partial<SimJob> = { service: true, spot: false };

/** A service that goes before others. */
export const URGENT: Partial<SimJob> = { ...SERVICE, urgent: true };

/** The names of all controllers. */
export const controllerNames = (world: World): string[] => world.members.map(([name]) => name);

/** The workers of a zone. */
export const workersIn = (world: World, zone: string): SimWorker[] =>
  [...world.workers.values()].filter((one) => one.machine.zone === zone);

/** Submits a job, at the first controller that is up unless told otherwise; it must be accepted. */
export async function submit(
  world: World,
  id: string,
  job: Partial<SimJob>,
  at?: string,
): Promise<void> {
  const node = at ?? [...world.nodes.keys()][0];
  const reply = await awaitReply(world, world.submit(id, job, node));
  assert.equal(reply.status, 201, `${id}: ${JSON.stringify(reply.body)}`);
}

/** Asks until it is confirmed, as users do; each time the next controller that is up. */
export async function cancel(
  world: World,
  id: string,
  nodes: string[],
  tries = 20,
): Promise<Reply> {
  let reply: Reply = { status: 0, body: null };
  for (let turn = 0; turn < tries; turn++) {
    reply = await awaitReply(world, world.cancel(id, nodes[turn % nodes.length]));
    if (reply.status === 200) return reply;
    await world.run(1);
  }
  return reply;
}

/** Services of both teams on all machines, and arrays beside them. */
export async function submitWorkload(world: World): Promise<void> {
  await submit(world, 'j-000001', { ...SERVICE, tasks: 4 });
  await submit(world, 'j-000002', { ...URGENT, team: 'blue', tasks: 4 });
  await submit(world, 'j-000003', { tasks: 4, runS: 60 });
  await submit(world, 'j-000004', { ...SERVICE, team: 'blue', tasks: 3 });
  await submit(world, 'j-000005', { team: 'blue', tasks: 6, runS: 20 });
  await world.run(14);
}

/** The key-value store is out for all; what runs meanwhile is given by the seconds passed. */
export async function outage(
  world: World,
  seconds: number,
  during: Record<number, () => void> = {},
): Promise<void> {
  world.store.hasOutage = true;
  for (const [at, run] of Object.entries(during)) world.clock.after(Number(at) * 1000, run);
  await world.run(seconds);
  world.store.endOutage();
}

/** These controllers and these machines no longer reach each other. */
export function cutOff(world: World, nodes: string[], machines: Iterable<string>): void {
  for (const machine of machines)
    for (const node of nodes) world.cutLinks.add(`${node}>${machine}`);
}

/** The leader is killed and back at once; another one has taken over first if it is slow. */
export async function restartLeader(world: World, downS: number): Promise<void> {
  const name = world.leader;
  await restartController(world, name, downS);
}

/** Plays a meeting by this seed; afterwards the rules must hold, and every job be as it should. */
export async function playOverlappingFaults(
  t: TestContext,
  row: OverlappingFaultsCase,
  seed: number,
): Promise<void> {
  const { members, zones = ['a', 'a', 'b'], recoveryS = 130, script } = row;
  const world = new World(seed, members);
  for (const zone of zones) world.addMachine('small', zone, false, 500);
  await world.run(7);
  await script(world);
  world.faultsOver();
  await world.run(recoveryS);
  t.diagnostic(`starts after a confirmed cancellation: ${world.startsAfterCancel.length}`);
  assert.deepEqual(world.violations, []);
  for (const id of world.accepted) {
    const job = world.jobs.get(id);
    const want = world.answeredEnds.get(id)?.stage ?? (job?.service ? 'running' : 'done');
    for (const node of controllerNames(world)) {
      const reply = await awaitReply(world, world.poll(id, node));
      assert.equal(stageOf(reply), want, `${id} at ${node}: ${reply.status}`);
    }
  }
  // The answers to these polls are checked too.
  assert.deepEqual(world.violations, []);
}
