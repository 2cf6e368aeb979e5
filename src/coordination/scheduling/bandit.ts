/** A contextual bandit that learns which machine types suit which classes of tasks. */

import { MAX_TASK_CLASSES } from '../../constants/scheduling.js';
import { Arm } from './arm.js';
import { joinArm, splitArm, type ArmRecord } from './arm-records.js';

export type { ArmRecord } from './arm-records.js';

/**
 * What became of a stored arm. `repaired`: restored with the nearest valid matrix A. `ignored`: it
 * was written with other machine types or conflicting classes. `invalid`: it is not an arm.
 */
export type ArmRestoration = 'restored' | 'repaired' | 'ignored' | 'invalid';

/**
 * LinUCB over machine types, with one arm (A and b) per type. A context consists of the one-hot
 * encoded task class, each type's fraction of the placed tasks, and the one-hot encoded machine
 * type. Classes beyond `MAX_TASK_CLASSES` share one entry.
 */
export class Bandit {
  private readonly arms = new Map<string, Arm>();
  private readonly classes: string[] = [];
  /** The highest cost of a finished task, by class index. */
  private readonly highestCosts = new Map<number, number>();

  /**
   * `alpha`: weight of the uncertainty of an estimate; 0 disables exploration. `penalty`: cost of a
   * failed task, as a multiple of the highest cost of its class.
   */
  constructor(
    private readonly types: readonly string[],
    private readonly alpha: number,
    private readonly penalty: number,
  ) {}

  /** Number of entries of a context. */
  private get contextSize(): number {
    return MAX_TASK_CLASSES + 1 + 2 * this.types.length;
  }

  /**
   * Returns the index of a class in a context. Once all indexes are taken, new classes share one.
   */
  private classIndex(taskClass: string): number {
    const index = this.classes.indexOf(taskClass);
    if (index >= 0) return index;
    if (this.classes.length >= MAX_TASK_CLASSES) return MAX_TASK_CLASSES;
    return this.classes.push(taskClass) - 1;
  }

  private armOf(type: string): Arm {
    const known = this.arms.get(type);
    if (known) return known;
    const arm = Arm.create(this.contextSize);
    this.arms.set(type, arm);
    return arm;
  }

  /**
   * The context of assigning a task of this class to this type. `taskCounts`: number of placed
   * tasks by machine type.
   */
  context(taskClass: string, type: string, taskCounts: ReadonlyMap<string, number>): number[] {
    const vector = new Array<number>(this.contextSize).fill(0);
    vector[this.classIndex(taskClass)] = 1;
    let total = 0;
    for (const count of taskCounts.values()) total += count;
    const firstTaskFraction = MAX_TASK_CLASSES + 1;
    const firstMachineType = firstTaskFraction + this.types.length;
    this.types.forEach((name, index) => {
      vector[firstTaskFraction + index] = total === 0 ? 0 : (taskCounts.get(name) ?? 0) / total;
      if (name === type) vector[firstMachineType + index] = 1;
    });
    return vector;
  }

  /** The upper confidence bound of an arm's payoff in a context; higher is better. */
  score(type: string, context: number[]): number {
    return this.armOf(type).score(context, this.alpha);
  }

  /**
   * Learns from a finished task; the payoff is the negative cost of its run. A cost that is not
   * finite is skipped, because it would spoil all scores of the type.
   */
  recordSuccess(type: string, context: number[], cost: number): void {
    if (!Number.isFinite(cost)) return;
    const classIndex = context.indexOf(1);
    this.highestCosts.set(classIndex, Math.max(this.highestCosts.get(classIndex) ?? 0, cost));
    this.armOf(type).learn(context, -cost);
  }

  /** Learns from a failed task, which costs `penalty` times the highest cost of its class. */
  recordFailure(type: string, context: number[]): void {
    const highestCost = this.highestCosts.get(context.indexOf(1)) ?? 0;
    this.armOf(type).learn(context, -this.penalty * highestCost);
  }

  /**
   * Returns a type's arm in records of at most `maxBytes` bytes of JSON each, the main one first.
   * `stamp` identifies the records of one snapshot. Returns an empty list if there is no arm for
   * the type, because nothing was learned about it, or if not even the diagonal of A fits into the
   * main record.
   */
  records(type: string, maxBytes: number, stamp: number): ArmRecord[] {
    const arm = this.arms.get(type);
    if (!arm) return [];
    const record: ArmRecord = {
      classes: [...this.classes],
      types: [...this.types],
      ...arm.cells(),
    };
    return splitArm(record, { maxBytes, stamp });
  }

  /**
   * Restores a type's arm from its records, unless they were written with other machine types or
   * with conflicting classes, or hold no valid arm. An arm that is not restored learns from the
   * beginning. `furtherRecord` looks up a further record by its number; the first is 1.
   */
  restore(
    type: string,
    main: ArmRecord,
    furtherRecord: (number: number) => ArmRecord | undefined = () => undefined,
  ): ArmRestoration {
    if (main.types.join() !== this.types.join()) return 'ignored';
    const record = joinArm(main, furtherRecord);
    // Arms are written at different times, so one may list more classes than another. Only the
    // classes that both lists have must agree.
    const commonCount = Math.min(this.classes.length, record.classes.length);
    const storedClasses = record.classes.slice(0, commonCount);
    if (this.classes.slice(0, commonCount).join() !== storedClasses.join()) return 'ignored';
    const restored = Arm.restore(this.contextSize, record);
    if (!restored) return 'invalid';
    this.classes.push(...record.classes.slice(commonCount, MAX_TASK_CLASSES));
    this.arms.set(type, restored.arm);
    return restored.isRepaired ? 'repaired' : 'restored';
  }
}
