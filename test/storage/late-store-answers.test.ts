/**
 * Tests responses of the key-value store that arrive after the watch has returned newer changes.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { jobKey } from '../../src/storage/keys.js';
import { SimClock } from '../world/clock.js';
import { submit } from '../world/overlapping-faults.js';
import { followingReplica } from '../world/replica.js';
import { awaitReply } from '../world/await-reply.js';
import { stageOf } from '../world/jobs.js';
import { SimKeyValueStore } from '../world/key-value-store.js';
import { World } from '../world/world.js';

const KEY = jobKey('j-000001');

/** A sequence of changes of one key, one of which the replica receives late. */
interface LateValueCase {
  name: string;
  /** Values written one after the other; undefined for a removal. */
  writtenValues: unknown[];
  /** Index of the value that is received late. */
  lateIndex: number;
  /** Whether the watch has returned all of these changes before. */
  isWatched: boolean;
  expected: unknown;
}

const CASES: LateValueCase[] = [
  {
    name: 'a created value after its removal',
    writtenValues: [1, undefined],
    lateIndex: 0,
    isWatched: true,
    expected: null,
  },
  {
    name: 'a created value after its removal and a second creation',
    writtenValues: [1, undefined, 2],
    lateIndex: 0,
    isWatched: true,
    expected: 2,
  },
  {
    name: 'a value after its change',
    writtenValues: [1, 2],
    lateIndex: 0,
    isWatched: true,
    expected: 2,
  },
  {
    name: 'a value before the watch returns it',
    writtenValues: [1],
    lateIndex: 0,
    isWatched: false,
    expected: 1,
  },
  {
    name: 'a removal after a second creation',
    writtenValues: [1, undefined, 2],
    lateIndex: 1,
    isWatched: true,
    expected: 2,
  },
];

// Guards against a removed key that the replica restores. The response to a read or a write arrived
// after the watch had returned the removal, and the key stayed in the replica for good. The leader
// then assigned tasks of an ended job, and all other jobs waited behind it.
test('late values: a key whose removal the watch returned is not restored by a late response', async () => {
  for (const { name, writtenValues, lateIndex, isWatched, expected } of CASES) {
    const clock = new SimClock();
    const simulatedStore = new SimKeyValueStore(clock);
    const { replica } = followingReplica(clock, simulatedStore, 100);
    await clock.run(500);
    if (!isWatched) replica.stop();
    const revisions = writtenValues.map((value) => {
      simulatedStore.change([
        value === undefined ? { key: KEY, remove: true } : { key: KEY, value },
      ]);
      return simulatedStore.revision;
    });
    await clock.run(3000);
    replica.applyOwnChanges([
      { key: KEY, value: writtenValues[lateIndex], revision: revisions[lateIndex] ?? 0 },
    ]);
    assert.equal(replica.get(KEY)?.value ?? null, expected, name);
  }
});

test('late values: a job runs although the response to the acceptance of an ended job is delayed', async () => {
  const world = new World(31, [['n0', 'a'], ['n1', 'a']]); // prettier-ignore
  world.addMachine('small', 'a', false, 500);
  await world.run(7);
  const leader = world.leader;
  const other = leader === 'n0' ? 'n1' : 'n0';
  // The store accepts the job at once, but the leader gets the response after the job has ended.
  world.store.transactionAnswerDelayMs = (node, changes) =>
    node === leader && changes.some((change) => change.key === jobKey('j-000001')) ? 1500 : 0;
  const accepted = world.submit('j-000001', { tasks: 2, runS: 60 }, leader);
  await world.run(1);
  assert.equal(stageOf(await awaitReply(world, world.cancel('j-000001', other), 10)), 'withdrawn');
  world.store.transactionAnswerDelayMs = () => 0;
  await awaitReply(world, accepted);
  await world.run(3);
  assert.equal(world.nodes.get(leader)?.node.replica.job('j-000001'), null);
  await submit(world, 'j-000002', { tasks: 2, runS: 5 }, other);
  await world.run(40);
  for (const node of [leader, other]) {
    assert.equal(stageOf(await awaitReply(world, world.poll('j-000001', node))), 'withdrawn');
    assert.equal(stageOf(await awaitReply(world, world.poll('j-000002', node))), 'done');
  }
  assert.deepEqual(world.violations, []);
});
