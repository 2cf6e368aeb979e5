/**
 * Guards against arms of the bandit that cannot be restored, or that decide wrongly, once a machine
 * type has finished many tasks: the stored matrix lost the identity to rounding and was singular.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { inverse, Matrix } from 'ml-matrix';
import { Bandit, type ArmRecord } from '../../src/coordination/scheduling/bandit.js';
import { SMALL_VALUE_BYTES, storedBytes } from '../world/sizes.js';
import { asEarlierVersionsStored, learnedArm, learnedTasks } from '../world/learned-arms.js';

const TASK_COUNTS = [100, 9_996, 99_990, 100_050, 250_000, 1_000_000, 100_000_000];
const TYPE_COUNTS = [1, 2, 3, 12];
const MAX_RECORD_BYTES = 8192;

const typesOf = (count: number): string[] => Array.from({ length: count }, (_, at) => `type-${at}`);

function restored(types: readonly string[], records: ArmRecord[]): Bandit {
  const bandit = new Bandit(types, 2, 2);
  const [main] = records;
  assert.ok(main);
  bandit.restore(types[0] ?? '', main, (at) => records[at]);
  return bandit;
}

/** Asserts that two bandits score the contexts of `learnedTasks` and a new one about equally. */
function assertSameScores(types: readonly string[], actual: Bandit, expected: Bandit): void {
  const [type = ''] = types;
  const contexts = learnedTasks(types, 1).map((tasks) =>
    expected.context(tasks.taskClass, type, tasks.taskCounts),
  );
  contexts.push(expected.context('work/1/0', type, new Map([[types.at(-1) ?? '', 1]])));
  for (const context of contexts) {
    const [one, other] = [actual.score(type, context), expected.score(type, context)];
    assert.ok(Math.abs(one - other) < 0.01 * Math.abs(other) + 1e-4, `${one} instead of ${other}`);
  }
}

for (const typeCount of TYPE_COUNTS) {
  for (const taskCount of TASK_COUNTS) {
    test(`an arm of ${typeCount} machine types and ${taskCount} tasks decides the same after it was stored`, () => {
      const types = typesOf(typeCount);
      const original = restored(types, [learnedArm(types, taskCount)]);
      const records = original.records(types[0] ?? '', MAX_RECORD_BYTES, 1);
      const [main] = records;
      assert.ok(main);
      assertSameScores(types, restored(types, records), original);
      // Earlier versions invert the matrix of the main record, and stop if it is singular.
      assert.doesNotThrow(() => inverse(matrixOf(main)));
      assert.deepEqual(
        restored(types, records).records(types[0] ?? '', MAX_RECORD_BYTES, 1),
        records,
      );
    });

    test(`an arm of ${typeCount} machine types and ${taskCount} tasks is restored as an earlier version stored it`, () => {
      const types = typesOf(typeCount);
      const [type = ''] = types;
      let record = learnedArm(types, taskCount);
      // Versions take turns at the shard during a rolling restart, and both learn.
      for (let turn = 0; turn < 4; turn++) {
        const bandit = restored(types, [asEarlierVersionsStored(record)]);
        for (const { taskClass, taskCounts, cost } of learnedTasks(types, 1)) {
          const context = bandit.context(taskClass, type, taskCounts);
          assert.ok(Number.isFinite(bandit.score(type, context)));
          const uncertaintyBefore = uncertaintyOf(bandit, type, context);
          bandit.recordSuccess(type, context, cost);
          assert.ok(uncertaintyOf(bandit, type, context) <= uncertaintyBefore + 1e-9);
        }
        const [next] = bandit.records(type, 65_536, 1);
        assert.ok(next);
        assert.ok(smallestPivot(matrixOf(next)) > 0, 'the matrix is positive definite');
        record = next;
      }
    });
  }
}

for (const typeCount of [1, 12, 30]) {
  for (const taskCount of [100, 100_000, 100_000_000]) {
    test(`an arm of ${typeCount} machine types and ${taskCount} tasks is complete in values of 2 KiB`, () => {
      const types = typesOf(typeCount);
      const original = restored(types, [learnedArm(types, taskCount)]);
      const records = original.records(types[0] ?? '', SMALL_VALUE_BYTES, 1);
      for (const record of records) assert.ok(storedBytes(record) <= SMALL_VALUE_BYTES);
      assertSameScores(types, restored(types, records), original);
    });
  }
}

for (const cell of [1e13, -1e13, 1e308]) {
  test(`a cell of ${cell} belongs to no arm`, () => {
    const arm = learnedArm(['small'], 10);
    const bandit = new Bandit(['small'], 2, 2);
    assert.equal(bandit.restore('small', { ...arm, a: [...arm.a, [1, 0, cell]] }), 'invalid');
    assert.equal(bandit.restore('small', { ...arm, b: [[0, cell]] }), 'invalid');
    assert.equal(bandit.restore('small', arm), 'restored');
  });
}

test('a cost that is not a number does not spoil the scores of its machine type', () => {
  const bandit = new Bandit(['small'], 2, 2);
  const context = bandit.context('work/1/0', 'small', new Map());
  bandit.recordSuccess('small', context, Number.NaN);
  bandit.recordSuccess('small', context, Infinity);
  bandit.recordFailure('small', context);
  assert.ok(Number.isFinite(bandit.score('small', context)));
});

function matrixOf({ types, a }: ArmRecord): Matrix {
  const size = 21 + 2 * types.length;
  const matrix = Matrix.zeros(size, size);
  for (const [row, column, value] of a) {
    matrix.set(row, column, value);
    matrix.set(column, row, value);
  }
  return matrix;
}

/** The part of a score that exploration adds. */
function uncertaintyOf(bandit: Bandit, type: string, context: number[]): number {
  const zero = context.map(() => 0);
  assert.equal(bandit.score(type, zero), 0);
  const opposite = context.map((x) => -x);
  return (bandit.score(type, context) + bandit.score(type, opposite)) / 2;
}

/** The smallest pivot of the Cholesky decomposition; positive for positive definite matrices. */
function smallestPivot(matrix: Matrix): number {
  const lower = Matrix.zeros(matrix.rows, matrix.rows);
  let smallest = Infinity;
  for (let row = 0; row < matrix.rows; row++) {
    for (let column = 0; column <= row; column++) {
      let sum = matrix.get(row, column);
      for (let at = 0; at < column; at++) sum -= lower.get(row, at) * lower.get(column, at);
      if (row === column) smallest = Math.min(smallest, sum);
      lower.set(row, column, row === column ? Math.sqrt(sum) : sum / lower.get(column, column));
    }
  }
  return smallest;
}
