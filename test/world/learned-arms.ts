/** Stored arms of a bandit that has learned from many tasks, made without playing each task. */
import { Bandit } from '../../src/coordination/scheduling/bandit.js';
import type { ArmRecord } from '../../src/coordination/scheduling/arm-records.js';

/** Tasks of one class, all placed while the machine types had the same numbers of tasks. */
interface LearnedTasks {
  taskClass: string;
  taskCounts: ReadonlyMap<string, number>;
  count: number;
  cost: number;
}

/** The classes of the tasks that `learnedArm` uses. */
const TASK_CLASSES = ['work/1/0', 'work/4/0', 'other/1/0'];

/** The tasks on one machine type that `learnedArm` uses: `count` in all, of three classes. */
export function learnedTasks(types: readonly string[], count: number): LearnedTasks[] {
  return TASK_CLASSES.flatMap((taskClass, at) =>
    [0, 1].map((round) => ({
      taskClass,
      taskCounts: new Map(types.map((type, nth) => [type, 1 + ((3 * nth + at + 5 * round) % 7)])),
      count: Math.ceil(count / 6),
      cost: 0.0013 * (at + 1),
    })),
  );
}

/** The arm of the first of these types after `count` tasks, without any rounding. */
export function learnedArm(types: readonly string[], count: number): ArmRecord {
  const bandit = new Bandit(types, 2, 2);
  const [type = ''] = types;
  const size = 21 + 2 * types.length;
  const design = Array.from({ length: size }, (_, row) =>
    Array.from({ length: size }, (_, column) => Number(row === column)),
  );
  const response = new Array<number>(size).fill(0);
  for (const tasks of learnedTasks(types, count)) {
    const context = bandit.context(tasks.taskClass, type, tasks.taskCounts);
    context.forEach((x, row) => {
      response[row] = (response[row] ?? 0) - tasks.count * tasks.cost * x;
      context.forEach((y, column) => {
        const cells = design[row] ?? [];
        cells[column] = (cells[column] ?? 0) + tasks.count * x * y;
      });
    });
  }
  const a: ArmRecord['a'] = design.flatMap((cells, row) =>
    cells
      .slice(0, row + 1)
      .flatMap((value, column): ArmRecord['a'] => (value === 0 ? [] : [[row, column, value]])),
  );
  const b = response.flatMap((value, row): ArmRecord['b'] => (value === 0 ? [] : [[row, value]]));
  return { classes: [...TASK_CLASSES], types: [...types], a, b };
}

/** The record as commits up to d9398a1 stored it: each number rounded to five digits. */
export function asEarlierVersionsStored(record: ArmRecord): ArmRecord {
  const round = (value: number): number => Number(value.toPrecision(5));
  return {
    ...record,
    a: record.a.map(([row, column, value]) => [row, column, round(value)]),
    b: record.b.map(([row, value]) => [row, round(value)]),
  };
}
