/**
 * Guards against shards that stop for good after a takeover because of one stored arm of the bandit:
 * nothing was placed, and no end of a task was written.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { parseArmRecord } from '../../src/coordination/scheduling/arm-records.js';
import { Bandit } from '../../src/coordination/scheduling/bandit.js';
import { armKey } from '../../src/storage/keys.js';
import { asEarlierVersionsStored, learnedArm } from '../world/learned-arms.js';
import { ended, JOB, ops, running, shardFixture } from '../world/shard-fixture.js';

const TYPE = 'small';
const valid = learnedArm([TYPE], 10);
const stored = (value: unknown, key = TYPE): { key: string; value: unknown } => ({
  key: armKey('p', key),
  value,
});

const ROWS: { name: string; records: { key: string; value: unknown }[] }[] = [
  ...[99_990, 100_000, 300_000, 100_000_000].map((count) => ({
    name: `an earlier version's arm of ${count} tasks`,
    records: [stored(asEarlierVersionsStored(learnedArm([TYPE], count)))],
  })),
  { name: 'a null', records: [stored(null)] },
  { name: 'a text', records: [stored('arm')] },
  { name: 'an object without fields', records: [stored({})] },
  { name: 'cells that are no list', records: [stored({ ...valid, a: {} })] },
  { name: 'a cell that is null', records: [stored({ ...valid, a: [[0, 0, null]] })] },
  { name: 'a cell outside the matrix', records: [stored({ ...valid, a: [[23, 0, 1]] })] },
  { name: 'a negative row', records: [stored({ ...valid, b: [[-1, 1]] })] },
  { name: 'an entry outside the vector', records: [stored({ ...valid, b: [[23, 1]] })] },
  {
    name: 'cells that overflow',
    records: [
      stored({
        ...valid,
        a: [
          [1, 0, 1e308],
          [0, 0, 1e308],
        ],
      }),
    ],
  },
  { name: 'no cells', records: [stored({ ...valid, a: [] })] },
  { name: 'a negative diagonal', records: [stored({ ...valid, a: [[0, 0, -5]] })] },
  {
    name: 'a malformed further record',
    records: [
      stored({ ...valid, stamp: 4, further: 1 }),
      stored({ classes: [], types: [], a: [], b: [], stamp: 4, moreA: [null] }, `${TYPE}+1`),
    ],
  },
  { name: 'a valid arm', records: [stored(valid)] },
  { name: 'a valid arm beside a malformed one', records: [stored(valid), stored(7, 'large')] },
];

for (const { name, records } of ROWS) {
  test(`a new holder places and completes tasks with a stored arm: ${name}`, async () => {
    const world = await shardFixture({ records });
    world.heartbeat();
    await world.reconcile();
    const [machine, attempt = 0] = world.stored()?.live['0'] ?? [];
    assert.equal(machine, 'm-1');
    assert.deepEqual(
      world.sent.map(({ commands }) => ops(commands)),
      [['start']],
    );
    world.heartbeat({}, [running(attempt)]);
    world.heartbeat({}, [ended(attempt)]);
    await world.reconcile(8000);
    assert.equal(world.stored()?.done, '0');
  });

  test(`a new holder replaces or keeps a stored arm once it has learned: ${name}`, async () => {
    const world = await shardFixture({ records, snapshotMs: 1000 });
    world.heartbeat();
    await world.reconcile();
    const attempt = world.stored()?.live['0']?.[1] ?? 0;
    world.heartbeat({}, [running(attempt)]);
    world.heartbeat({}, [ended(attempt)]);
    await world.reconcile(8000);
    const parsed = parseArmRecord(world.store.entries.get(armKey('p', TYPE))?.value);
    assert.ok(parsed.ok);
    assert.equal(new Bandit([TYPE], 2, 2).restore(TYPE, parsed.value), 'restored');
  });

  test(`a new holder writes the end of a task of a former holder with a stored arm: ${name}`, async () => {
    const world = await shardFixture({ records, placed: true });
    world.heartbeat({}, [running(77)]);
    await world.reconcile();
    world.heartbeat({}, [ended(77)]);
    await world.reconcile(8000);
    assert.equal(world.stored()?.done, '0', JOB);
  });
}
