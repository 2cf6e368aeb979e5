/** One shard of the cluster as its holder runs it: machines and the tasks assigned to them. */
import { ASSIGNMENTS, JOBS, readAssignmentKey } from '../../storage/keys.js';
import type { Command, Heartbeat } from '../../protocol/model.js';
import { SingleFlight } from '../../transport/concurrency.js';
import type { Bandit } from '../scheduling/bandit.js';
import { AssignmentWriter } from './assignment-writer.js';
import { BanditSnapshot } from './bandit-snapshot.js';
import { GangShares } from './gang-shares.js';
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

/** The answer to a worker's heartbeat; not ok: the heartbeat must not be answered. */
export type HeartbeatAnswer =
  { ok: true; fencingToken: number; commands: Command[] } | { ok: false };

/**
 * One shard as its holder runs it: its machines and the tasks assigned to it. The desired state is
 * that every task runs on one machine and that machines run nothing else; heartbeats show the actual
 * state, and the answers to them carry the commands that make up the difference.
 */
export class Shard {
  private readonly context: ShardContext;
  private readonly commands: MachineCommands;
  private readonly observer: HeartbeatObserver;
  private readonly directCalls: DirectCalls;
  private readonly gangReservation: ReservedGang;
  private readonly schedulerLoader: SchedulerLoader;
  private readonly lostMachines: LostMachines;
  private readonly writer: AssignmentWriter;
  private readonly status: ShardStatus;
  private readonly banditSnapshot: BanditSnapshot;
  private readonly reconciliation = new SingleFlight();

  constructor(options: ShardOptions, services: ShardServices) {
    this.context = createContext(options, services);
    this.commands = new MachineCommands(this.context);
    this.observer = new HeartbeatObserver(this.context);
    this.directCalls = new DirectCalls(this.context, this.commands, this.observer);
    this.gangReservation = new ReservedGang(this.context);
    this.schedulerLoader = new SchedulerLoader(this.context, this.gangReservation);
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

  /** The machines whose heartbeats come to this shard. */
  get machines(): Machines {
    return this.context.machines;
  }

  /** Half of the numbers of this term are used: the shard should go on under a new one. */
  get needsTermRenewal(): boolean {
    return (
      this.machines.fencingTokens.isRunningOut ||
      (this.schedulerLoader.scheduler?.isRunningOut ?? false)
    );
  }

  /** How many machines the shard has, and how many tasks are placed and wait, for the metrics. */
  counts(): { machines: number; placed: number; waiting: number } {
    return { machines: this.machines.all.size, ...this.context.tasks.counts() };
  }

  // --- What the key-value store holds --------------------------------------------------------

  /** A key of the replica changed; true: this shard may have something to do. */
  changed(key: string): boolean {
    if (key.startsWith(JOBS)) return this.jobChanged(key.slice(JOBS.length));
    const { assignmentsOfEndedJobs: endedAssignments, tasks } = this.context;
    if (tasks.gangAssignments.size > 0 && this.otherShareChanged(key)) return true;
    const before = tasks.assignments.get(key);
    tasks.handleChange(key);
    const assignment = tasks.assignments.get(key);
    if (assignment && !before) withdrawIfEnded(this.context, assignment);
    if (before && !assignment) endedAssignments.delete(before);
    return before !== assignment;
  }

  /** A job is new, has changed or is over; true: it has tasks in this shard. */
  private jobChanged(job: string): boolean {
    this.gangReservation.noteJob(jobSpec(this.context, job));
    let hasTasks = false;
    for (const assignment of this.context.tasks.assignmentsOf(job)) {
      withdrawIfEnded(this.context, assignment);
      hasTasks = true;
    }
    // A reconciliation that waits for the key-value store must not hold up what ends tasks.
    if (hasTasks && this.reconciliation.isRunning) this.directCalls.sendPending();
    return hasTasks;
  }

  /** True: another shard's share of a gang of ours changed, so that ours may start. */
  private otherShareChanged(key: string): boolean {
    const { gangs, options } = this.context;
    const name = key.startsWith(ASSIGNMENTS) ? readAssignmentKey(key) : null;
    if (!name || name.shard === options.shard) return false;
    const machines = gangs.machinesOf(name.job);
    markForCommands(this.context, machines);
    return machines.size > 0;
  }

  // --- Heartbeats ----------------------------------------------------------------------------

  /** Takes over a worker's heartbeat; the answer carries the commands for its machine. */
  handleHeartbeat(heartbeat: Heartbeat): HeartbeatAnswer {
    const hasLaterHolder = this.machines.fencingTokens.isOfLaterTerm(heartbeat.fencingToken);
    if (hasLaterHolder || this.machines.recordedState(heartbeat.machine) === 'gone')
      return { ok: false };
    const machine = this.machines.all.get(heartbeat.machine) ?? this.addMachine(heartbeat);
    const freshness = this.observer.observe(machine, heartbeat, null);
    if (!this.machines.heartbeats.mayAnswer(machine)) return { ok: false };
    this.machines.heartbeats.noteAnswer(machine, freshness);
    // What is put into the answer to a late copy is lost.
    const commands =
      freshness === 'older' ? [] : this.commands.commandsFor(machine, { resend: true });
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
      'machine joined shard',
    );
    wake();
    return machine;
  }

  // --- Reconciliation ------------------------------------------------------------------------

  /** Compares the desired state with the actual one and commits the difference. */
  async reconcile(): Promise<void> {
    await this.reconciliation.run(() => this.reconcileOnce());
  }

  private async reconcileOnce(): Promise<void> {
    this.writer.sweep();
    const scheduler = this.schedulerLoader.scheduler ?? (await this.schedulerLoader.load());
    if (!scheduler) return;
    this.lostMachines.sweep();
    markForCommands(this.context, scheduler.place());
    markForCommands(this.context, scheduler.consolidate());
    markForCommands(this.context, this.context.gangs.reconcile());
    releaseWaitingTasks(this.context);
    await this.writer.flush();
    this.directCalls.sendPending();
    await this.publish(this.context.costLearning.bandit, machineTypeNames(this.context));
  }

  /** Writes what others read beside the assignments: the machines' health, and what was learned. */
  private async publish(bandit: Bandit | null, types: readonly string[]): Promise<void> {
    await this.status.writeIfDue();
    await this.banditSnapshot.writeIfDue(bandit, types);
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
    gangs: new GangShares(options, { tasks, replica, clock, log }),
    jobFailureBackoff: new JobFailureBackoff(clock),
    costLearning: new CostLearning(machines, clock),
    machinesToCommand: new Set(),
    assignmentsOfEndedJobs: new Set(),
  };
}
