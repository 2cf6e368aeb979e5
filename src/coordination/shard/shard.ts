/** One part of the cluster as its owner runs it: machines and the tasks assigned to them. */
import { TOKEN_STEP } from '../../constants.js';
import { CHUNKS, JOBS, readChunkKey } from '../../storage/keys.js';
import type { Command, WorkerReport } from '../../protocol/model.js';
import { ChunkWriter } from './assignment-writer.js';
import { GangShares } from './gang-shares.js';
import type { Machine } from '../shard-state/machine.js';
import { Machines } from '../shard-state/machines.js';
import { CostLearning } from './cost-learning.js';
import { DirectCalls } from './direct-calls.js';
import { withdrawIfEnded } from './ended-jobs.js';
import { FailurePauses } from './job-failure-backoff.js';
import { GangReservation } from './reserved-gang.js';
import { LostMachines } from './lost-machines.js';
import { MachineCommands } from './machine-commands.js';
import {
  jobSpec,
  machineTypeNames,
  markDirty,
  type PartContext,
  type PartOptions,
  type PartServices,
} from './shard-context.js';
import { PlacingLoader } from './scheduler-loader.js';
import { ReportObserver } from './heartbeat-observer.js';
import { releaseWaitingTasks } from './task-release.js';
import { Status } from './shard-status.js';
import { Tasks } from '../shard-state/tasks.js';

export type { PartOptions, PartServices } from './shard-context.js';

/** The answer to a worker's report; not ok: the report must not be answered. */
export type ReportAnswer = { ok: true; token: number; commands: Command[] } | { ok: false };

/**
 * One part as its owner runs it: its machines and the tasks assigned to it. Wanted is that every
 * task runs on one machine and that machines run nothing else; reports tell what is, and the
 * answers to them carry the commands that make up the difference.
 */
export class Part {
  private readonly context: PartContext;
  private readonly commands: MachineCommands;
  private readonly observer: ReportObserver;
  private readonly directCalls: DirectCalls;
  private readonly gangReservation: GangReservation;
  private readonly placingLoader: PlacingLoader;
  private readonly lostMachines: LostMachines;
  private readonly writer: ChunkWriter;
  private readonly status: Status;
  private busy = false;

  constructor(options: PartOptions, services: PartServices) {
    this.context = createContext(options, services);
    this.commands = new MachineCommands(this.context);
    this.observer = new ReportObserver(this.context);
    this.directCalls = new DirectCalls(this.context, this.commands, this.observer);
    this.gangReservation = new GangReservation(this.context);
    this.placingLoader = new PlacingLoader(this.context, this.gangReservation);
    this.lostMachines = new LostMachines(this.context);
    this.writer = new ChunkWriter(this.context, {
      onCommitted: (machines, urgent) => {
        markDirty(this.context, machines);
        if (urgent) options.written();
        this.directCalls.sendPending();
      },
    });
    for (const chunk of this.context.tasks.chunks.values()) withdrawIfEnded(this.context, chunk);
    this.status = new Status(options, services, this.machines);
  }

  /** The machines that report to this part. */
  get machines(): Machines {
    return this.context.machines;
  }

  /** Half of the numbers of this term are used: the part should go on under a new one. */
  get needsNewTerm(): boolean {
    return this.machines.isRunningOut || (this.placingLoader.placing?.isRunningOut ?? false);
  }

  /** How many machines the part has, and how many tasks are placed and wait, for the metrics. */
  counts(): { machines: number; placed: number; waiting: number } {
    return { machines: this.machines.all.size, ...this.context.tasks.counts() };
  }

  // --- What the state service holds ----------------------------------------------------------

  /** A key of the replica changed; true: this part may have something to do. */
  changed(key: string): boolean {
    if (key.startsWith(JOBS)) return this.jobChanged(key.slice(JOBS.length));
    const { endedChunks, tasks } = this.context;
    if (tasks.gangs.size > 0 && this.otherShareChanged(key)) return true;
    const before = tasks.chunks.get(key);
    tasks.changed(key);
    const chunk = tasks.chunks.get(key);
    if (chunk && !before) withdrawIfEnded(this.context, chunk);
    if (before && !chunk) endedChunks.delete(before);
    return before !== chunk;
  }

  /** A job is new, has changed or is over; true: it has tasks in this part. */
  private jobChanged(job: string): boolean {
    this.gangReservation.noteJob(jobSpec(this.context, job));
    let known = false;
    for (const chunk of this.context.tasks.of(job)) {
      withdrawIfEnded(this.context, chunk);
      known = true;
    }
    // A round that waits for the state service must not hold up what ends tasks.
    if (known && this.busy) this.directCalls.sendPending();
    return known;
  }

  /** True: another part's share of a gang of ours changed, so that ours may start. */
  private otherShareChanged(key: string): boolean {
    const { gangs, options } = this.context;
    const name = key.startsWith(CHUNKS) ? readChunkKey(key) : null;
    if (!name || name.part === options.part) return false;
    const machines = gangs.machinesOf(name.job);
    markDirty(this.context, machines);
    return machines.size > 0;
  }

  // --- Reports -------------------------------------------------------------------------------

  /** Takes over a worker's report; the answer carries the commands for its machine. */
  handleReport(report: WorkerReport): ReportAnswer {
    const newer = report.token >= this.machines.baseToken + TOKEN_STEP;
    if (newer || this.machines.recordedState(report.machine) === 'gone') return { ok: false };
    const machine = this.machines.all.get(report.machine) ?? this.addMachine(report);
    const worth = this.observer.observe(machine, report, null);
    if (!this.machines.mayAnswer(machine)) return { ok: false };
    this.machines.answered(machine, worth);
    // What is put into the answer to a late copy is lost: starts go only to who hears us.
    const commands = worth === 'older' ? [] : this.commands.commandsFor(machine, { resend: true });
    return { ok: true, token: this.machines.tokenOf(machine), commands };
  }

  private addMachine(report: WorkerReport): Machine {
    const { log, wake } = this.context;
    const machine = this.machines.add(report.machine, report.type, report.zone, report.spot);
    log.info({ machine: report.machine, type: report.type }, 'machine reports');
    wake();
    return machine;
  }

  // --- Rounds --------------------------------------------------------------------------------

  /** One round: find the difference between what is wanted and what is, and commit it. */
  async round(): Promise<void> {
    if (this.busy) return;
    this.busy = true;
    this.writer.sweep();
    try {
      const placing = this.placingLoader.placing ?? (await this.placingLoader.load());
      if (!placing) return;
      this.lostMachines.sweep();
      markDirty(this.context, placing.place());
      markDirty(this.context, placing.consolidate());
      markDirty(this.context, this.context.gangs.reconcile());
      releaseWaitingTasks(this.context);
      await this.writer.flush();
      this.directCalls.sendPending();
      await this.status.round(this.context.costLearning.bandit, machineTypeNames(this.context));
    } finally {
      this.busy = false;
    }
  }
}

function createContext(options: PartOptions, services: PartServices): PartContext {
  const { clock, log, replica } = services;
  const machines = new Machines(options, replica, clock);
  const tasks = new Tasks(options.part, replica, clock);
  return {
    ...services,
    options,
    machines,
    tasks,
    gangs: new GangShares(options, { tasks, machines, replica, clock, log }),
    failurePauses: new FailurePauses(clock),
    costLearning: new CostLearning(machines, clock),
    dirtyMachines: new Set(),
    endedChunks: new Set(),
  };
}
