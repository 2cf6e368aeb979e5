/** One shard of the cluster, with its machines and tasks, at the controller that holds it. */
import { ASSIGNMENTS, JOBS, readAssignmentKey } from '../../storage/keys.js';
import type { Command, Heartbeat } from '../../protocol/model.js';
import { PassSteps } from '../../storage/pass-steps.js';
import { SingleFlight } from '../../transport/concurrency.js';
import { AssignmentWriter } from './assignment-writer.js';
import { BanditSnapshot } from './bandit-snapshot.js';
import { GangSubsets } from './gang-subsets.js';
import type { Machine } from '../shard-state/machine.js';
import { Machines } from '../shard-state/machines.js';
import { CostLearning } from './cost-learning.js';
import { DirectCalls } from './direct-calls.js';
import { withdrawIfEnded } from './ended-jobs.js';
import { HolderRecords } from './holder-records.js';
import { JobFailureBackoff } from './job-failure-backoff.js';
import { ReservedGang } from './reserved-gang.js';
import { LostMachines } from './lost-machines.js';
import { MachineCommands } from './machine-commands.js';
import {
  jobSpec,
  machineTypeNames,
  markForCommands,
  type ShardContext,
  type ShardOptions,
  type ShardServices,
} from './shard-context.js';
import { SchedulerLoader } from './scheduler-loader.js';
import { HeartbeatObserver } from './heartbeat-observer.js';
import { releaseWaitingTasks } from './task-release.js';
import { ShardStatus } from './shard-status.js';
import { Tasks } from '../shard-state/tasks.js';

export type { ShardOptions } from './shard-context.js';

/**
 * The answer to a worker's heartbeat; `ok: false` means that the heartbeat must not be answered.
 */
export type HeartbeatAnswer =
  { ok: true; fencingToken: number; commands: Command[] } | { ok: false };

/**
 * One shard at its holder: its machines and the tasks assigned to it. In the desired state every
 * task runs on exactly one machine, and no machine runs anything else. Heartbeats show the actual
 * state, and the answers to them contain the commands that bring about the desired one.
 */
export class Shard {
  private readonly context: ShardContext;
  private readonly commands: MachineCommands;
  private readonly observer: HeartbeatObserver;
  private readonly directCalls: DirectCalls;
  private readonly reservedGang: ReservedGang;
  private readonly schedulerLoader: SchedulerLoader;
  private readonly lostMachines: LostMachines;
  private readonly writer: AssignmentWriter;
  private readonly status: ShardStatus;
  private readonly banditSnapshot: BanditSnapshot;
  private readonly reconciliation = new SingleFlight();
  private readonly steps: PassSteps;

  constructor(options: ShardOptions, services: ShardServices) {
    this.context = createContext(options, services);
    this.steps = new PassSteps(services.log, { shard: options.shard });
    this.commands = new MachineCommands(this.context);
    this.observer = new HeartbeatObserver(this.context);
    this.directCalls = new DirectCalls(this.context, this.commands, this.observer);
    this.reservedGang = new ReservedGang(this.context);
    this.schedulerLoader = new SchedulerLoader(this.context, this.reservedGang);
    this.lostMachines = new LostMachines(this.context);
    this.writer = new AssignmentWriter(this.context, {
      onCommitted: (machines, urgent) => {
        markForCommands(this.context, machines);
        if (urgent) options.onUrgentWrite();
        this.directCalls.sendPending();
      },
    });
    for (const assignment of this.context.tasks.assignments.values()) {
      withdrawIfEnded(this.context, assignment);
    }
    const records = new HolderRecords(options, services);
    this.status = new ShardStatus(options, { ...services, machines: this.machines, records });
    this.banditSnapshot = new BanditSnapshot(options, { ...services, records });
  }

  /** The machines whose workers send their heartbeats to this shard. */
  get machines(): Machines {
    return this.context.machines;
  }

  /**
   * Whether half of this term's fencing tokens or attempt numbers are used, so that a new term is
   * needed.
   */
  get needsTermRenewal(): boolean {
    return (
      this.machines.fencingTokens.isRunningOut ||
      (this.schedulerLoader.scheduler?.isRunningOut ?? false)
    );
  }

  /** The numbers of machines, of placed tasks and of waiting tasks, for the metrics. */
  counts(): { machines: number; placed: number; waiting: number } {
    return { machines: this.machines.all.size, ...this.context.tasks.counts() };
  }

  // --- Changes of stored records -------------------------------------------------------------

  /** Handles a changed key of the replica; returns whether the shard should reconcile. */
  handleChange(key: string): boolean {
    if (key.startsWith(JOBS)) return this.handleJobChange(key.slice(JOBS.length));
    const { assignmentsOfEndedJobs, tasks } = this.context;
    if (tasks.gangAssignments.size > 0 && this.handleOtherSubsetChange(key)) return true;
    const before = tasks.assignments.get(key);
    tasks.handleChange(key);
    const assignment = tasks.assignments.get(key);
    if (assignment && !before) withdrawIfEnded(this.context, assignment);
    if (before && !assignment) assignmentsOfEndedJobs.delete(before);
    return before !== assignment;
  }

  /**
   * Handles a job that is new, has changed or has ended; returns whether the shard has tasks of it.
   */
  private handleJobChange(job: string): boolean {
    this.reservedGang.recordJob(jobSpec(this.context, job));
    let hasTasks = false;
    for (const assignment of this.context.tasks.assignmentsOf(job)) {
      withdrawIfEnded(this.context, assignment);
      hasTasks = true;
    }
    // Stops are sent now if a reconciliation is running, because it may be waiting for the
    // key-value store.
    if (hasTasks && this.reconciliation.isRunning) this.directCalls.sendPending();
    return hasTasks;
  }

  /**
   * Marks the machines of a gang for commands if another shard's subset of the gang changed,
   * because this shard's subset may start now. Returns whether this shard has machines with tasks
   * of the gang.
   */
  private handleOtherSubsetChange(key: string): boolean {
    const { gangSubsets, options } = this.context;
    const name = key.startsWith(ASSIGNMENTS) ? readAssignmentKey(key) : null;
    if (!name || name.shard === options.shard) return false;
    const machines = gangSubsets.machinesOf(name.job);
    markForCommands(this.context, machines);
    return machines.size > 0;
  }

  // --- Heartbeats ----------------------------------------------------------------------------

  /** Applies a worker's heartbeat; the answer contains the commands for its machine. */
  handleHeartbeat(heartbeat: Heartbeat): HeartbeatAnswer {
    const hasLaterHolder = this.machines.fencingTokens.isOfLaterTerm(heartbeat.fencingToken);
    if (hasLaterHolder || this.machines.recordedState(heartbeat.machine) === 'gone')
      return { ok: false };
    const machine = this.machines.all.get(heartbeat.machine) ?? this.addMachine(heartbeat);
    const freshness = this.observer.observe(machine, heartbeat, null);
    if (!this.machines.heartbeats.mayAnswer(machine)) return { ok: false };
    this.machines.heartbeats.recordAnswer(machine, freshness);
    // Commands in the answer to a late duplicate would be lost, so that answer contains none.
    const commands =
      freshness === 'older' ? [] : this.commands.commandsFor(machine, { resend: true });
    this.machines.heartbeats.recordStarts(machine, commands);
    return { ok: true, fencingToken: this.machines.fencingTokens.tokenOf(machine), commands };
  }

  private addMachine(heartbeat: Heartbeat): Machine {
    const { log, options, wake } = this.context;
    const machine = this.machines.add(
      heartbeat.machine,
      heartbeat.type,
      heartbeat.zone,
      heartbeat.spot,
    );
    log.info(
      { shard: options.shard, machine: heartbeat.machine, type: heartbeat.type },
      'machine added to shard',
    );
    wake();
    return machine;
  }

  // --- Reconciliation ------------------------------------------------------------------------

  /** Places, stops and releases tasks, commits the changes and sends the commands that result. */
  async reconcile(): Promise<void> {
    await this.reconciliation.run(() => this.reconcileOnce());
  }

  /** Runs all steps of a pass; if one fails, the ends of tasks are written all the same. */
  private async reconcileOnce(): Promise<void> {
    const { context, steps } = this;
    const types = machineTypeNames(context);
    if (types.length === 0) return;
    await steps.runAsync('load scheduler', () => this.schedulerLoader.ensureLoaded());
    steps.run('sweep withheld assignments', () => this.writer.sweep());
    steps.run('requeue tasks of lost machines', () => this.lostMachines.sweep());
    steps.run('place tasks', () => this.placeTasks());
    steps.run('reconcile gangs', () => markForCommands(context, context.gangSubsets.reconcile()));
    steps.run('release waiting tasks', () => releaseWaitingTasks(context));
    await steps.runAsync('write assignments', () => this.writer.flush());
    steps.run('send commands', () => this.directCalls.sendPending());
    await steps.runAsync('write status', () => this.status.writeIfDue());
    await steps.runAsync('write arms', () =>
      this.banditSnapshot.writeIfDue(context.costLearning.bandit, types),
    );
  }

  /** Places waiting tasks and consolidates services, once the scheduler is loaded. */
  private placeTasks(): void {
    const { scheduler } = this.schedulerLoader;
    if (!scheduler) return;
    markForCommands(this.context, scheduler.place());
    markForCommands(this.context, scheduler.consolidate());
  }
}

function createContext(options: ShardOptions, services: ShardServices): ShardContext {
  const { clock, log, replica } = services;
  const machines = new Machines(options, replica, clock);
  const tasks = new Tasks(options.shard, replica, clock);
  return {
    ...services,
    options,
    machines,
    tasks,
    gangSubsets: new GangSubsets(options, { tasks, replica, clock, log }),
    jobFailureBackoff: new JobFailureBackoff(clock),
    costLearning: new CostLearning(machines, clock, log),
    machinesToCommand: new Set(),
    assignmentsOfEndedJobs: new Set(),
  };
}
