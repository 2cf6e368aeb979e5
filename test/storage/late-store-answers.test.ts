/** Answers of the key-value store that come later than the watch which tells of something newer. */
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

/** What happened to a key, and what the replica is told of late. */
interface LateValue {
  name: string;
  /** Values written one after the other; undefined: a removal. */
  written: unknown[];
  /** Which of them is told late. */
  late: number;
  /** The watch tells of all of it before. */
  isWatched: boolean;
  expected: unknown;
}

const LATE: LateValue[] = [
  { name: 'made and removed', written: [1, undefined], late: 0, isWatched: true, expected: null },
  { name: 'made anew', written: [1, undefined, 2], late: 0, isWatched: true, expected: 2 },
  { name: 'changed', written: [1, 2], late: 0, isWatched: true, expected: 2 },
  { name: 'not watched yet', written: [1], late: 0, isWatched: false, expected: 1 },
  { name: 'a removal', written: [1, undefined, 2], late: 1, isWatched: true, expected: 2 },
];

// A read, or the answer to a write, that came after the watch had told of the removal brought the key
// back for good: a leader then assigned tasks of a job that was over, and all others waited behind it.
test('late values: a key that the watch reported as removed does not come back', async () => {
  for (const { name, written, late, isWatched, expected } of LATE) {
    const clock = new SimClock();
    const state = new SimKeyValueStore(clock);
    const { replica } = followingReplica(clock, state, 100);
    await clock.run(500);
    if (!isWatched) replica.stop();
    const revisions = written.map((value) => {
      state.change([value === undefined ? { key: KEY, remove: true } : { key: KEY, value }]);
      return state.revision;
    });
    await clock.run(3000);
    replica.applyOwnChanges([{ key: KEY, value: written[late], revision: revisions[late] ?? 0 }]);
    assert.equal(replica.get(KEY)?.value ?? null, expected, name);
  }
});

test('late values: jobs run while the answer to the acceptance of an ended one is delayed', async () => {
  const world = new World(31, [['n0', 'a'], ['n1', 'a']]); // prettier-ignore
  world.addMachine('small', 'a', false, 500);
  await world.run(7);
  const leader = world.leader;
  const other = leader === 'n0' ? 'n1' : 'n0';
  // Carried out at once; the leader hears of it only when the job is over.
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
