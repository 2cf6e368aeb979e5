/** Creates a shard's scheduler and restores the stored arms of its bandit. */
import { ARRAY_USES_RESERVED_AFTER_MS } from '../../constants/gangs.js';
import { START_OVERDUE_S } from '../../constants/leader.js';
import { ARMS } from '../../storage/keys.js';
import { parseArmRecord, type ArmRecord } from '../scheduling/arm-records.js';
import type { Bandit } from '../scheduling/bandit.js';
import { Scheduler, type SchedulerOptions } from '../scheduling/scheduler.js';
import { GangStopCost } from './gang-stop-cost.js';
import type { ReservedGang } from './reserved-gang.js';
import { machineTypeNames, type ShardContext } from './shard-context.js';

/** Creates the scheduler once the replica holds the catalog of machine types. */
export class SchedulerLoader {
  private loaded: Scheduler | null = null;

  constructor(
    private readonly context: ShardContext,
    private readonly reservedGang: ReservedGang,
  ) {}

  /** The scheduler; null until it is loaded. */
  get scheduler(): Scheduler | null {
    return this.loaded;
  }

  /** Creates the scheduler, unless it exists or no catalog of machine types is stored yet. */
  async ensureLoaded(): Promise<void> {
    const types = machineTypeNames(this.context);
    if (this.loaded || types.length === 0) return;
    const { clock, costLearning, log, machines, options, tasks } = this.context;
    // The bandit is imported here and not at start-up, because its matrix library is the largest
    // dependency and would slow the start down.
    const module = await import('../scheduling/bandit.js');
    const bandit = new module.Bandit(types, options.alpha, options.penalty);
    this.restore(bandit);
    costLearning.bandit = bandit;
    const dependencies = { tasks, machines, bandit, clock, log };
    this.loaded = new Scheduler(this.schedulerOptions(), dependencies);
  }

  /**
   * Restores the bandit's arms from the stored records. A record that is not an arm is logged and
   * skipped, and its machine type's arm learns from the beginning.
   */
  private restore(bandit: Bandit): void {
    const { log, options, replica } = this.context;
    for (const [key, stored] of replica.entriesWithPrefix(`${ARMS}${options.shard}/`)) {
      const parsed = parseArmRecord(stored.value);
      if (!parsed.ok) {
        log.warn({ key, error: parsed.error }, 'stored arm is malformed');
        continue;
      }
      const type = key.slice(key.lastIndexOf('/') + 1);
      const further = (at: number): ArmRecord | undefined => this.readArm(`${key}+${at}`);
      const restoration = bandit.restore(type, parsed.value, further);
      log.info({ key, restoration }, 'stored arm read');
    }
  }

  /** Reads a record of an arm; undefined: it does not exist or is malformed. */
  private readArm(key: string): ArmRecord | undefined {
    const parsed = parseArmRecord(this.context.replica.get(key)?.value);
    return parsed.ok ? parsed.value : undefined;
  }

  private schedulerOptions(): SchedulerOptions {
    const { jobFailureBackoff, options, replica } = this.context;
    const gangStopCost = new GangStopCost(this.context);
    return {
      shardNumber: options.number,
      term: options.term,
      startWithinS: options.startWithinS,
      findJob: (id) => replica.job(id),
      hasStartedLate: (id) => this.startedLate(id),
      hasWaitedLong: (id) => this.hasWaitedLong(id),
      expectedGang: () => this.reservedGang.next(),
      isPaused: (id) => jobFailureBackoff.isPaused(id),
      mayStopGang: (assignment) => gangStopCost.mayStop(assignment),
      gangWaitS: options.gangWaitS,
    };
  }

  /**
   * Whether a job was accepted at least `START_OVERDUE_S` ago and none of its tasks is done, so
   * that its first running tasks started late.
   */
  private startedLate(job: string): boolean {
    const { replica } = this.context;
    if (!this.isOlderThan(job, START_OVERDUE_S * 1000)) return false;
    return replica.assignmentsOf(job).every((assignment) => assignment.done === 0);
  }

  /**
   * Whether a job was accepted at least `ARRAY_USES_RESERVED_AFTER_MS` ago and none of its tasks is
   * placed.
   */
  private hasWaitedLong(job: string): boolean {
    const { replica } = this.context;
    if (!this.isOlderThan(job, ARRAY_USES_RESERVED_AFTER_MS)) return false;
    return replica.assignmentsOf(job).every((assignment) => assignment.placedCount === 0);
  }

  /** Whether a job was accepted at least `ageMs` ago and has not ended. */
  private isOlderThan(job: string, ageMs: number): boolean {
    const { clock, replica } = this.context;
    const record = replica.job(job);
    return record !== null && clock.wall() - record.at >= ageMs;
  }
}
