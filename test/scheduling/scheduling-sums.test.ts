/**
 * Guards the arithmetic of scheduling: the bandit's scores and records, the selection of late
 * demands in overload, and the distribution of machines over shards. An error there causes no
 * visible failure, only worse decisions.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Bandit } from '../../src/coordination/scheduling/bandit.js';
import { countFittingTasks } from '../../src/coordination/capacity/resources.js';
import { shardOf } from '../../src/coordination/election/rendezvous-hashing.js';
import { selectLateDemands } from '../../src/coordination/leader/deadline-selection.js';

test('bandit: scores agree with values computed by hand, also after its records are restored', () => {
  // One class and two types: x is 1 at the class and at the type. The fractions of tasks by type
  // between the two are 0.
  const bandit = new Bandit(['s', 'l'], 2, 2);
  const empty = new Map<string, number>();
  const x = bandit.context('c', 's', empty);
  assert.equal(
    x.reduce((sum, value) => sum + value, 0),
    2,
  );
  // A = I, b = 0: 0 + 2·√(x·x) = 2·√2.
  assert.ok(Math.abs(bandit.score('s', x) - 2 * Math.SQRT2) < 1e-9);
  bandit.recordSuccess('s', x, 3);
  // A = I + x·xᵀ, so A⁻¹x = x/3; b = -3x: theta·x = -3·2/3 = -2, and xᵀA⁻¹x = 2/3.
  assert.ok(Math.abs(bandit.score('s', x) - (-2 + 2 * Math.sqrt(2 / 3))) < 1e-9);
  // A failure costs twice the highest cost: b = -3x - 6x, A⁻¹x = x/5: theta·x = -18/5.
  bandit.recordFailure('s', x);
  assert.ok(Math.abs(bandit.score('s', x) - (-18 / 5 + 2 * Math.sqrt(2 / 5))) < 1e-9);
  // The other arm has learned nothing. Its context contains the fractions of tasks by type.
  const y = bandit.context(
    'c',
    'l',
    new Map([
      ['s', 3],
      ['l', 1],
    ]),
  );
  assert.ok(Math.abs(bandit.score('l', y) - 2 * Math.sqrt(2 + 0.75 ** 2 + 0.25 ** 2)) < 1e-9);
  const [record, furtherRecord] = bandit.records('s', 8192, 1);
  assert.ok(record && !furtherRecord);
  const restored = new Bandit(['s', 'l'], 2, 2);
  restored.restore('s', record);
  assert.ok(Math.abs(restored.score('s', x) - bandit.score('s', x)) < 1e-3);
  const smallRecords = bandit.records('s', 320, 1);
  assert.ok(smallRecords.length > 0);
  for (const smallRecord of smallRecords) assert.ok(JSON.stringify(smallRecord).length <= 320);
});

test('overload: as few demands as possible are selected to miss their deadlines', () => {
  const createDemand = (workCpuS: number, dueS: number, runS = 1) => ({ workCpuS, runS, dueS });
  const cases: [ReturnType<typeof createDemand>[], number, number[]][] = [
    [[createDemand(10, 10), createDemand(10, 20)], 1, []],
    [[createDemand(15, 10), createDemand(5, 12), createDemand(5, 13)], 1, [0]],
    [[createDemand(5, 10), createDemand(50, 20), createDemand(5, 30)], 1, [1]],
    [[createDemand(5, 10, 11)], 100, [0]],
  ];
  for (const [demands, cpus, late] of cases) {
    const found = selectLateDemands(demands, cpus);
    assert.deepEqual(
      demands.flatMap((demand, index) => (found.has(demand) ? [index] : [])),
      late,
    );
  }
  assert.equal(
    countFittingTasks({ cpus: 4, gpus: 0, memoryGb: 16 }, { cpus: 1, gpus: 0, memoryGb: 5 }),
    3,
  );
});

test('a machine has a shard of its own zone, the same one for any order of the members', () => {
  const members = [
    { node: 'n0', zone: 'a' },
    { node: 'n1', zone: 'a' },
    { node: 'n2', zone: 'b' },
  ];
  const counts: Record<string, number> = {};
  for (let index = 0; index < 400; index++) {
    const shard = shardOf(`m-${index}`, 'a', members);
    counts[shard] = (counts[shard] ?? 0) + 1;
    assert.equal(shardOf(`m-${index}`, 'b', members), 'n2');
    assert.equal(shard, shardOf(`m-${index}`, 'a', [...members].reverse()));
  }
  assert.deepEqual(Object.keys(counts).sort(), ['n0', 'n1']);
  assert.ok(Math.min(...Object.values(counts)) > 120);
  assert.notEqual(shardOf('m-1', 'elsewhere', members), '');
});
