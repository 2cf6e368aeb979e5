/** A simulated gang whose tasks are started and stopped by the test itself, without controllers. */
import assert from 'node:assert/strict';
import type { SimJob } from './jobs.js';
import type { SimWorker } from './worker.js';
import { World } from './world.js';

/** The job id of the gang. */
export const JOB = 'j-000001';

/**
 * Creates a gang of three tasks and four machines, three in zone a and the last in zone b. Only the
 * test sends commands: a stub in place of the controller answers each heartbeat without commands.
 */
async function commandGang(job: Partial<SimJob>) {
  const world = new World(1, [['n0', 'a']]);
  world.kill('n0');
  await world.submit(JOB, { gang: true, tasks: 3, runS: 10, ...job });
  const answer = { status: 200, body: { mandate: 1, calls: [] } };
  const node = { handleHeartbeat: () => Promise.resolve(answer) };
  world.nodes.set('n0', { node: node as never, kill: () => undefined });
  for (let at = 0; at < 4; at++) world.addMachine('small', at < 3 ? 'a' : 'b', false, 0);
  await world.run(1);
  const workers = [...world.workers.values()];
  const worker = (at: number): SimWorker => {
    const found = workers[at];
    assert.ok(found);
    return found;
  };
  const call = (at: number, verb: string, index: number, attempt = 1, settleS = 0): number =>
    worker(at).command(1, 1, [{ verb, larva: `${JOB}/${index}`, try: attempt, settleS }]).status;
  const start = (...indices: number[]): void => {
    for (const index of indices) assert.equal(call(index, 'launch', index), 200);
  };
  /** Starts all three tasks, which run together after 1 s, and lets them run for `forS` seconds. */
  const startAndRun = async (forS: number): Promise<void> => {
    start(0, 1, 2);
    await world.run(1 + forS);
  };
  const stopAll = (graceS: number): void => {
    for (const index of [0, 1, 2]) call(index, 'halt', index, 1, graceS);
  };
  /** Removes the exited tasks of the first attempt from their machines and starts the second. */
  const startSecondAttempt = (...indices: number[]): void => {
    for (const index of indices) call(index, 'reap', index);
    for (const index of indices) call(index, 'launch', index, 2);
  };
  /**
   * Returns the first task that machine `at` reports: its state, followed by its cause and "stored"
   * if it has them; "none" if the machine reports no task.
   */
  const reportedState = (at: number): string => {
    const reply = JSON.parse(worker(at).command(1, 1, []).body) as {
      larvae: { stage: string; cause?: string; stored?: boolean }[];
    };
    const [one] = reply.larvae;
    if (!one) return 'none';
    return [one.stage, one.cause, one.stored ? 'stored' : ''].filter(Boolean).join(' ');
  };
  const reportedStates = (): string[] => [reportedState(0), reportedState(1), reportedState(2)];
  const savedProgressS = (): number => (world.gangs.savedProgressMs.get(JOB) ?? 0) / 1000;
  const steps = { call, start, startAndRun, stopAll, startSecondAttempt };
  return { world, worker, ...steps, reportedState, reportedStates, savedProgressS };
}

/** The gang, its world, and the functions by which a test commands and observes it. */
type CommandedGang = Awaited<ReturnType<typeof commandGang>>;

/** Returns the expected reports of three machines whose tasks are in the same state. */
export const allThree = (state: string): string[] => [state, state, state];

/** A case: the fields of the job that differ from the defaults, and what is done to its gang. */
export interface CommandedGangCase {
  name: string;
  job?: Partial<SimJob>;
  act: (gang: CommandedGang) => Promise<void>;
}

/** Plays a case. Violations of invariants that the case has not removed itself fail it. */
export async function playCommandedGang({ job, act }: CommandedGangCase): Promise<void> {
  const gang = await commandGang(job ?? {});
  await act(gang);
  assert.deepEqual(gang.world.violations, []);
}
