/** Calculations behind placement: the bandit, deadlines in overload, and the shards of machines. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Bandit } from '../../src/coordination/scheduling/bandit.js';
import { countFittingTasks } from '../../src/coordination/capacity/resources.js';
import { shardOf } from '../../src/coordination/election/rendezvous-hashing.js';
import { selectLateDemands } from '../../src/coordination/leader/deadline-selection.js';

test('the bandit agrees with a case worked by hand', () => {
  // One class and two types: x has 1 at the class, at the type, and the load shares in between.
  const bandit = new Bandit(['s', 'l'], 2, 2);
  const empty = new Map<string, number>();
  const x = bandit.context('c', 's', empty);
  assert.equal(
    x.reduce((sum, value) => sum + value, 0),
    2,
  );
  // A = I, b = 0: 0 + 2·√(x·x) = 2·√2.
  assert.ok(Math.abs(bandit.score('s', x) - 2 * Math.SQRT2) < 1e-9);
  bandit.finished('s', x, 3);
  // A = I + x·xᵀ, so A⁻¹x = x/3; b = -3x: theta·x = -3·2/3 = -2, and xᵀA⁻¹x = 2/3.
  assert.ok(Math.abs(bandit.score('s', x) - (-2 + 2 * Math.sqrt(2 / 3))) < 1e-9);
  // A failure costs twice the worst: b = -3x - 6x, A⁻¹x = x/5: theta·x = -18/5.
  bandit.failed('s', x);
  assert.ok(Math.abs(bandit.score('s', x) - (-18 / 5 + 2 * Math.sqrt(2 / 5))) < 1e-9);
  // The other arm has learned nothing; its load share counts.
  const y = bandit.context(
    'c',
    'l',
    new Map([
      ['s', 3],
      ['l', 1],
    ]),
  );
  assert.ok(Math.abs(bandit.score('l', y) - 2 * Math.sqrt(2 + 0.75 ** 2 + 0.25 ** 2)) < 1e-9);
  const [record, more] = bandit.records('s', 8192, 1);
  assert.ok(record && !more);
  const other = new Bandit(['s', 'l'], 2, 2);
  other.restore('s', record);
  assert.ok(Math.abs(other.score('s', x) - bandit.score('s', x)) < 1e-3);
  const small = bandit.records('s', 320, 1);
  assert.ok(small.length > 0);
  for (const one of small) assert.ok(JSON.stringify(one).length <= 320);
});

test('overload: as many demands as possible meet their deadlines', () => {
  const demand = (workCpuS: number, dueS: number, runS = 1) => ({ workCpuS, runS, dueS });
  const cases: [ReturnType<typeof demand>[], number, number[]][] = [
    [[demand(10, 10), demand(10, 20)], 1, []],
    [[demand(15, 10), demand(5, 12), demand(5, 13)], 1, [0]],
    [[demand(5, 10), demand(50, 20), demand(5, 30)], 1, [1]],
    [[demand(5, 10, 11)], 100, [0]],
  ];
  for (const [demands, cpus, late] of cases) {
    const found = selectLateDemands(demands, cpus);
    assert.deepEqual(
      demands.flatMap((one, at) => (found.has(one) ? [at] : [])),
      late,
    );
  }
  assert.equal(
    countFittingTasks({ cpus: 4, gpus: 0, memoryGb: 16 }, { cpus: 1, gpus: 0, memoryGb: 5 }),
    3,
  );
});

test('a machine belongs to a shard of its own zone, and always to the same one', () => {
  const members = [
    { node: 'n0', zone: 'a' },
    { node: 'n1', zone: 'a' },
    { node: 'n2', zone: 'b' },
  ];
  const counts: Record<string, number> = {};
  for (let at = 0; at < 400; at++) {
    const shard = shardOf(`m-${at}`, 'a', members);
    counts[shard] = (counts[shard] ?? 0) + 1;
    assert.equal(shardOf(`m-${at}`, 'b', members), 'n2');
    assert.equal(shard, shardOf(`m-${at}`, 'a', [...members].reverse()));
  }
  assert.deepEqual(Object.keys(counts).sort(), ['n0', 'n1']);
  assert.ok(Math.min(...Object.values(counts)) > 120);
  assert.notEqual(shardOf('m-1', 'elsewhere', members), '');
});
