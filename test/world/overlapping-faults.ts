/** Plays two overlapping faults in the simulated cluster: shared steps and the final checks. */
import assert from 'node:assert/strict';
import type { TestContext } from 'node:test';
import { stageOf, type Reply, type SimJob } from './jobs.js';
import { awaitReply } from './await-reply.js';
import type { SimWorker } from './worker.js';
import { World, type Members } from './world.js';
import { restartController } from './fault-steps.js';

/** A case of two faults that overlap. */
export interface OverlappingFaultsCase {
  name: string;
  members?: Members;
  /** Zones of the machines that are up from the start, one entry for each machine. */
  zones?: string[];
  seeds?: number[];
  /** s from the end of the script to the final checks. */
  recoveryS?: number;
  script: (world: World) => Promise<void>;
}

/** A job that runs until it is cancelled. */
export const SERVICE: Partial<SimJob> = { service: true, spot: false };

/** A service of urgent rank, which is placed before jobs of lower rank. */
export const URGENT_SERVICE: Partial<SimJob> = { ...SERVICE, urgent: true };

/** The names of all controllers. */
export const controllerNames = (world: World): string[] => world.members.map(([name]) => name);

/** The workers of a zone. */
export const workersIn = (world: World, zone: string): SimWorker[] =>
  [...world.workers.values()].filter((one) => one.machine.zone === zone);

/** Submits a job at the given controller, by default the first one that is up; it must be accepted. */
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

/**
 * Cancels a job as users do: repeats the request 1 s after each failure, at each of the given
 * controllers one after another, until it is confirmed. Returns the last reply.
 */
export async function cancel(
  world: World,
  id: string,
  nodes: string[],
  tries = 20,
): Promise<Reply> {
  let reply: Reply = { status: 0, body: null };
  for (let retry = 0; retry < tries; retry++) {
    reply = await awaitReply(world, world.cancel(id, nodes[retry % nodes.length]));
    if (reply.status === 200) return reply;
    await world.run(1);
  }
  return reply;
}

/** Submits services of both teams that occupy all machines and arrays beside them; runs for 14 s. */
export async function submitWorkload(world: World): Promise<void> {
  await submit(world, 'j-000001', { ...SERVICE, tasks: 4 });
  await submit(world, 'j-000002', { ...URGENT_SERVICE, team: 'blue', tasks: 4 });
  await submit(world, 'j-000003', { tasks: 4, runS: 60 });
  await submit(world, 'j-000004', { ...SERVICE, team: 'blue', tasks: 3 });
  await submit(world, 'j-000005', { team: 'blue', tasks: 6, runS: 20 });
  await world.run(14);
}

/**
 * Makes the key-value store unavailable to all controllers for so many seconds. Each function in
 * `during` runs when as many seconds of the outage have passed as its key says.
 */
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

/** Cuts the connections between these controllers and these machines, in both directions. */
export function cutOff(world: World, nodes: string[], machines: Iterable<string>): void {
  for (const machine of machines)
    for (const node of nodes) world.cutLinks.add(`${node}>${machine}`);
}

/**
 * Kills the leader and starts it again after `downS` seconds. If that is long enough for a failover,
 * another controller is the leader by then.
 */
export async function restartLeader(world: World, downS: number): Promise<void> {
  const name = world.leader;
  await restartController(world, name, downS);
}

/**
 * Plays a case with this seed. Afterwards the invariants must hold, and each controller must report
 * each accepted job with the end that was sent to its user; without one, services must be running
 * and all other jobs done.
 */
export async function playOverlappingFaults(
  t: TestContext,
  faults: OverlappingFaultsCase,
  seed: number,
): Promise<void> {
  const { members, zones = ['a', 'a', 'b'], recoveryS = 130, script } = faults;
  const world = new World(seed, members);
  for (const zone of zones) world.addMachine('small', zone, false, 500);
  await world.run(7);
  await script(world);
  world.startChecksAfterFaults();
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
  // The invariant checker has now seen the answers to these polls as well.
  assert.deepEqual(world.violations, []);
}
