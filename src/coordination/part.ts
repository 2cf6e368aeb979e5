import {
  BEGIN_WITHIN_S,
  COMMANDS_MAX,
  FAILURE_PAUSE_MAX_S,
  FAILURE_PAUSE_S,
  GANG_RESERVING_PLACE_MS,
  KEPT_FROM_MS,
  QUEUE_RELEASE_MS,
  RELEASE_MS,
  SWEEP_MS,
  TOKEN_STEP,
} from '../constants.js';
import { readCatalog } from '../storage/catalog.js';
import type { Committer } from '../storage/committer.js';
import { ARMS, CHUNKS, JOBS, readChunkKey } from '../storage/keys.js';
import type { RateLimiter } from '../storage/rate-limiter.js';
import type { Log } from '../storage/log.js';
import type { StoreReplica } from '../storage/store-replica.js';
import {
  rankOf,
  type Command,
  type JobSpec,
  type MachineType,
  type TaskReport,
  type WorkerReport,
} from '../protocol/model.js';
import type { WorkerApi } from '../protocol/worker-api.js';
import type { Clock } from '../transport/clock.js';
import type { ArmRecord, Bandit } from './bandit.js';
import { GangShares } from './gang-share.js';
import { reservingPlace } from './gang-capacity.js';
import { machinesOf } from './inventory.js';
import type { Direct, Machine } from './machine.js';
import { Machines } from './machines.js';
import { fits, take, type Room } from './room.js';
import { Placing } from './placing.js';
import { RecentGangs } from './recent-gangs.js';
import { Status } from './status.js';
import { Tasks, type Chunk, type Slot } from './tasks.js';
import { placeKey } from './priorities.js';
import { ChunkWriter } from './chunk-writer.js';

export interface PartOptions {
  part: string;
  number: number;
  term: number;
  roleKey: string;
  roleRevision: number;
  fenceAt: number;
  leaseS: number;
  reportS: number;
  gangWaitS: number;
  gangPeerS: number;
  txnOps: number;
  valueBytes: number;
  alpha: number;
  penalty: number;
  snapshotMs: number;
  /** Seconds within which tasks of a class should start. */
  startWithinS: Readonly<Record<string, number>>;
  /** Still the owner, as far as the replica knows. */
  alive: () => boolean;
  /** What the replica knows is recent enough to act on it before the outside. */
  current: () => boolean;
  /** How far this node's writes to the state service reach. */
  limiter: Pick<RateLimiter, 'supply' | 'hasRoom'>;
  /** Something urgent was written: the leader should not wait for its next look. */
  written: () => void;
}

export type ReportAnswer = { ok: true; token: number; commands: Command[] } | { ok: false };

/**
 * One part in the hands of its owner: its machines and the tasks assigned to it. Wanted is that
 * every task runs on one machine and that machines run nothing else; reports tell what is, and
 * the answers to them carry the commands that make up the difference.
 */
export class Part {
  readonly machines: Machines;
  private readonly tasks: Tasks;
  private readonly gangs: GangShares;
  private readonly writer: ChunkWriter;
  private readonly recentGangs: RecentGangs;
  private reservedGang: JobSpec | null = null;
  private reservedGangCheckedAt = -Infinity;
  private bandit: Bandit | null = null;
  private placing: Placing | null = null;
  private readonly failures = new Map<string, { count: number; until: number }>();
  /** Machines for which there may be commands that are not in any answer yet. */
  private readonly dirtyMachines = new Set<string>();
  /** Chunks of jobs that are over. */
  private readonly ended = new Set<Chunk>();
  private sweptAt = -Infinity;
  private readonly status: Status;
  private busy = false;

  constructor(
    private readonly options: PartOptions,
    private readonly replica: StoreReplica,
    committer: Committer,
    private readonly workers: WorkerApi,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly wake: () => void,
  ) {
    this.machines = new Machines(options, replica, clock);
    this.tasks = new Tasks(options.part, replica, clock);
    this.gangs = new GangShares(options, {
      tasks: this.tasks,
      machines: this.machines,
      replica,
      clock,
      log,
    });
    this.recentGangs = new RecentGangs(clock);
    this.writer = new ChunkWriter(
      options,
      {
        ended: this.ended,
        spec: (job) => this.spec(job),
        stored: (machines, urgent) => {
          this.markDirty(machines);
          if (urgent) options.written();
          this.sendDirect();
        },
        dropped: (job) => this.failures.delete(job),
      },
      this.tasks,
      replica,
      committer,
      clock,
      log,
    );
    for (const chunk of this.tasks.chunks.values()) this.noteEnd(chunk);
    this.status = new Status(options, replica, committer, this.machines, clock);
  }

  // --- What the state service holds ----------------------------------------------------------

  /** A key of the replica changed; true: this part may have something to do. */
  changed(key: string): boolean {
    if (key.startsWith(JOBS)) {
      const spec = this.spec(key.slice(JOBS.length));
      if (spec?.kind === 'gang') this.recentGangs.add(spec);
      let known = false;
      for (const chunk of this.tasks.of(key.slice(JOBS.length))) {
        this.noteEnd(chunk);
        known = true;
      }
      // A round that waits for the state service must not hold up what ends tasks.
      if (known && this.busy) this.sendDirect();
      return known;
    }
    if (this.tasks.gangs.size > 0 && this.elsewhere(key)) return true;
    const before = this.tasks.chunks.get(key);
    this.tasks.changed(key);
    const chunk = this.tasks.chunks.get(key);
    if (chunk && !before) this.noteEnd(chunk);
    if (before && !chunk) this.ended.delete(before);
    return before !== chunk;
  }

  /** True: another part's share of a gang of ours changed, so that ours may start. */
  private elsewhere(key: string): boolean {
    const name = key.startsWith(CHUNKS) ? readChunkKey(key) : null;
    if (!name || name.part === this.options.part) return false;
    const machines = this.gangs.machinesOf(name.job);
    this.markDirty(machines);
    return machines.size > 0;
  }

  /** A job that is over: what was never sent goes at once, the rest when reports prove its end. */
  private noteEnd(chunk: Chunk): void {
    if (this.spec(chunk.job) !== null) return;
    this.ended.add(chunk);
    for (const slot of [...chunk.slots.values()]) {
      if (slot.state !== 'live') continue;
      // Not even committed: nobody can have sent it.
      if (!this.tasks.committed(chunk, slot)) this.tasks.requeue(chunk, slot);
      else this.dirtyMachines.add(slot.machine);
    }
  }

  private spec(job: string): JobSpec | null {
    return this.replica.job(job)?.spec ?? null;
  }

  /** What is on hand, for whoever watches the program. */
  counts(): { machines: number; placed: number; waiting: number } {
    return { machines: this.machines.all.size, ...this.tasks.counts() };
  }

  // --- Reports -------------------------------------------------------------------------------

  handleReport(report: WorkerReport): ReportAnswer {
    const newer = report.token >= this.machines.baseToken + TOKEN_STEP;
    if (newer || this.machines.recordedState(report.machine) === 'gone') return { ok: false };
    let machine = this.machines.all.get(report.machine);
    if (!machine) {
      machine = this.machines.add(report.machine, report.type, report.zone, report.spot);
      this.log.info({ machine: report.machine, type: report.type }, 'machine reports');
      this.wake();
    }
    const worth = this.observe(machine, report, null);
    if (!this.machines.mayAnswer(machine)) return { ok: false };
    this.machines.answered(machine, worth);
    // What is put into the answer to a late copy is lost: starts go only to who hears us.
    const commands = worth === 'older' ? [] : this.commandsFor(machine, true);
    return { ok: true, token: this.machines.tokenOf(machine), commands };
  }

  /** Takes over what a report shows. */
  private observe(machine: Machine, report: WorkerReport, askedAt: number | null) {
    const wasProven = machine.proven;
    const worth = this.machines.order(machine, report, askedAt);
    if (worth === 'older') return worth;
    const now = this.clock.now();
    if (worth === 'newSession' || machine.proven !== wasProven) {
      this.log.debug(
        { machine: machine.name, session: machine.session, hears: machine.proven },
        worth === 'newSession' ? 'machine began a new session' : 'machine hears us or does not',
      );
      this.wake();
    }
    if (machine.address !== report.address || machine.leaving !== (report.noticeS !== null)) {
      machine.address = report.address;
      machine.leaving = report.noticeS !== null;
      this.wake();
    }
    machine.tasks = report.tasks;
    const listed = new Set<Slot>();
    for (const one of report.tasks) {
      const found = this.match(machine, one);
      if (!found) continue;
      listed.add(found.slot);
      if (one.state === 'exited') {
        this.exited(found.chunk, found.slot, one, machine, now);
        // Its room may be what a start on this machine waited for.
        this.dirtyMachines.add(machine.name);
        this.wake();
      } else if (one.state !== 'fetching') {
        if (one.state === 'gathering') found.slot.gatheringAt ??= now;
        else found.slot.runningAt ??= now;
        const spec = this.spec(found.chunk.job);
        if (spec) machine.images.add(spec.image);
      }
    }
    const usable = this.machines.usable(machine);
    for (const [slot, chunk] of [...this.tasks.on(machine.name)]) {
      if (listed.has(slot)) continue;
      // Not on the machine, which is proof only where the worker has heard nobody but us, and where
      // no command sent straight to it is still on its way.
      if (!machine.ours || machine.direct?.attempts.has(slot.attempt)) continue;
      slot.startSent = false;
      if (this.spec(chunk.job) === null || !usable || slot.halting) {
        this.tasks.requeue(chunk, slot);
        this.wake();
      }
    }
    return worth;
  }

  /** The placement that a reported task is, if it is one. */
  private match(machine: Machine, one: TaskReport): { chunk: Chunk; slot: Slot } | null {
    const found = this.tasks.find(one.task.job, one.task.index);
    const slot = found?.slot;
    const same =
      slot?.state === 'live' && slot.machine === machine.name && slot.attempt === one.attempt;
    return found && same ? found : null;
  }

  /** What makes the machine do what is wanted; `all`: also what was sent before. */
  private commandsFor(machine: Machine, all: boolean): Command[] {
    const commands: Command[] = [];
    const room = this.machines.capacity(machine.type);
    const listed = new Set<Slot>();
    for (const one of machine.tasks) {
      const chunk = this.tasks.find(one.task.job, one.task.index)?.chunk;
      if (one.state !== 'exited') take(room, chunk ? chunk.record : { ...room });
      const found = this.match(machine, one);
      if (!found) {
        if (all) this.clearUnwanted(machine, one, commands);
        continue;
      }
      const { slot } = found;
      listed.add(slot);
      const spec = this.spec(found.chunk.job);
      const stop = spec === null || (slot.halting && one.state !== 'saving');
      if (!stop || (slot.stopSent && !all)) continue;
      slot.stopSent = true;
      const graceS = spec !== null && spec.checkpointS > 0 ? spec.saveS : 0;
      commands.push({ op: 'stop', task: one.task, attempt: one.attempt, graceS });
    }
    // Once forgotten, a start that was sent straight to the worker and is delivered once more would
    // run again: what forgets it carries a token that makes all earlier direct calls powerless.
    if (machine.exposed && commands.some((command) => command.op === 'forget')) {
      this.machines.fence(machine);
    }
    if (this.machines.usable(machine)) this.startMissing(machine, listed, room, all, commands);
    return commands.slice(0, COMMANDS_MAX);
  }

  /** A task on the machine that is not wanted there: stopped, or forgotten once it has ended. */
  private clearUnwanted(machine: Machine, one: TaskReport, commands: Command[]): void {
    if (one.state !== 'exited') {
      commands.push({ op: 'stop', task: one.task, attempt: one.attempt, graceS: 0 });
      return;
    }
    // Forgotten only after the state service knows the end: until then a new owner of this part
    // would take the placement for one whose start was lost.
    // Nor while a start sent straight to the worker may still arrive: it would run once more.
    const chunk = this.tasks.find(one.task.job, one.task.index)?.chunk;
    const stored = chunk?.stored.live[String(one.task.index)];
    if (stored?.[1] !== one.attempt && !machine.direct?.attempts.has(one.attempt)) {
      commands.push({ op: 'forget', task: one.task, attempt: one.attempt });
    }
  }

  private exited(chunk: Chunk, slot: Slot, one: TaskReport, machine: Machine, now: number): void {
    if (one.cause === 'done') {
      if (slot.context && slot.runningAt !== null && this.bandit) {
        const cost = ((now - slot.runningAt) / 1000) * this.pricePerS(machine, chunk.record);
        this.bandit.finished(machine.type, slot.context, cost);
      }
      machine.errors.clear();
      this.failures.delete(chunk.job);
      this.tasks.finish(chunk, slot);
      return;
    }
    if (one.cause === 'error' || one.cause === 'unknown') {
      if (slot.context) this.bandit?.failed(machine.type, slot.context);
      if (one.cause === 'error') machine.errors.add(chunk.job);
      const before = this.failures.get(chunk.job)?.count ?? 0;
      const pause = Math.min(FAILURE_PAUSE_S * 2 ** before, FAILURE_PAUSE_MAX_S);
      this.failures.set(chunk.job, { count: before + 1, until: now + pause * 1000 });
      this.log.info(
        { task: `${chunk.job}/${slot.index}`, machine: machine.name, cause: one.cause, pause },
        'task failed',
      );
    }
    this.tasks.requeue(chunk, slot);
  }

  /** Starts what is placed on the machine and not there, where its room allows. */
  private startMissing(
    machine: Machine,
    listed: Set<Slot>,
    room: Room,
    all: boolean,
    commands: Command[],
  ): void {
    const missing = [...this.tasks.on(machine.name)].filter(([slot]) => !listed.has(slot));
    for (const [slot, chunk] of missing) if (slot.startSent) take(room, chunk.record);
    for (const [slot, chunk] of missing) {
      if (!this.tasks.committed(chunk, slot) || slot.halting) continue;
      if (this.spec(chunk.job) === null || !this.gangs.mayStart(chunk)) continue;
      if (slot.startSent ? !all : !fits(room, chunk.record)) continue;
      if (!slot.startSent) take(room, chunk.record);
      slot.startSent = true;
      const task = { job: chunk.job, index: slot.index };
      commands.push({ op: 'start', task, attempt: slot.attempt });
    }
  }

  /**
   * Sends what is new straight to the workers instead of waiting for their next reports. One call
   * to a machine at a time; until it was answered or is fenced, none of its attempts is placed
   * anew or forgotten, since it may be carried out minutes late.
   */
  private sendDirect(): void {
    if (!this.options.alive() || !this.options.current()) return;
    for (const name of [...this.dirtyMachines]) {
      if (this.workers.full) return;
      const machine = this.machines.all.get(name);
      if (machine?.direct) continue;
      this.dirtyMachines.delete(name);
      // The answer to the report that proves that it hears us carries all that is missing.
      if (!machine?.proven || machine.address === '') continue;
      let commands = this.commandsFor(machine, false);
      // A silent one may still hear calls: what must end there is told to it, nothing else.
      if (this.machines.health(machine) === 'silent') {
        commands = commands.filter((command) => command.op === 'stop');
      }
      if (commands.length > 0) void this.sendTo(machine, commands);
    }
  }

  private async sendTo(machine: Machine, commands: Command[]): Promise<void> {
    const direct: Direct = {
      session: machine.session,
      attempts: new Set(commands.map((command) => command.attempt)),
      fence: null,
    };
    machine.direct = direct;
    if (commands.some((command) => command.op === 'start')) machine.exposed = true;
    const askedAt = this.clock.now();
    try {
      const result = await this.workers.command(
        machine.address,
        this.machines.tokenOf(machine),
        machine.session,
        commands,
      );
      if (machine.direct === direct) machine.direct = null;
      this.observe(machine, result.report, askedAt);
      if (this.dirtyMachines.size > 0) this.wake();
    } catch (error) {
      if (machine.direct !== direct) return;
      this.machines.doubt(machine);
      direct.fence = this.machines.tokenOf(machine);
      this.log.info({ machine: machine.name, error: String(error) }, 'direct commands unanswered');
    }
  }

  // --- Rounds --------------------------------------------------------------------------------

  /** One round: find the difference between what is wanted and what is, and commit it. */
  async round(): Promise<void> {
    if (this.busy) return;
    this.busy = true;
    this.writer.sweep();
    try {
      const placing = this.placing ?? (await this.loadPlacing());
      if (!placing) return;
      this.requeueLost();
      this.markDirty(placing.place());
      this.markDirty(placing.consolidate());
      this.markDirty(this.gangs.reconcile());
      this.release();
      await this.writer.flush();
      this.sendDirect();
      const types = this.types().map((type) => type.name);
      await this.status.round(this.bandit, types);
    } finally {
      this.busy = false;
    }
  }

  private markDirty(names: Set<string>): void {
    for (const name of names) this.dirtyMachines.add(name);
  }

  private types(): MachineType[] {
    return readCatalog(this.replica) ?? [];
  }

  private async loadPlacing(): Promise<Placing | null> {
    const types = this.types().map((type) => type.name);
    if (types.length === 0) return null;
    // Loaded late: the matrix library is the largest of all, and start-up time is dear.
    const { Bandit: Learner } = await import('./bandit.js');
    const bandit = new Learner(types, this.options.alpha, this.options.penalty);
    for (const [key, held] of this.replica.below<ArmRecord>(`${ARMS}${this.options.part}/`)) {
      const further = (at: number) => this.replica.get<ArmRecord>(`${key}+${at}`)?.value;
      bandit.restore(key.slice(key.lastIndexOf('/') + 1), held.value, further);
    }
    this.bandit = bandit;
    this.placing = new Placing(
      {
        number: this.options.number,
        term: this.options.term,
        startWithinS: this.options.startWithinS,
        job: (id) => this.replica.job(id),
        beginner: (id) => this.beginner(id),
        waitsLong: (id) => this.waitsLong(id),
        nextGang: () => this.nextGang(),
        pauses: (id) => this.pauses(id),
        mayStopGang: (chunk) => this.gangs.mayStop(chunk),
        gangWaitS: this.options.gangWaitS,
      },
      {
        tasks: this.tasks,
        machines: this.machines,
        bandit,
        clock: this.clock,
        log: this.log,
      },
    );
    return this.placing;
  }

  private waitsLong(job: string): boolean {
    const record = this.replica.job(job);
    if (!record || this.clock.wall() - record.at < KEPT_FROM_MS) return false;
    return this.replica.chunksOf(job).every((chunk) => chunk.liveCount === 0);
  }

  /** Some room for the next gang is kept free by the part that has most machines for it. */
  private nextGang(): JobSpec | null {
    const now = this.clock.now();
    if (now < this.reservedGangCheckedAt) return this.reservedGang;
    this.reservedGangCheckedAt = now + GANG_RESERVING_PLACE_MS;
    const next = this.recentGangs.largestNotUrgent;
    if (!next) return (this.reservedGang = null);
    const place = reservingPlace(next, machinesOf(this.replica));
    const ours = this.machines
      .inOrder()
      .some(({ zone }) => placeKey(this.options.part, zone) === place);
    return (this.reservedGang = ours ? next : null);
  }

  private beginner(job: string): boolean {
    const record = this.replica.job(job);
    if (!record || this.clock.wall() - record.at < BEGIN_WITHIN_S * 1000) return false;
    return this.replica.chunksOf(job).every((chunk) => chunk.done === 0);
  }

  private pauses(job: string): boolean {
    return (this.failures.get(job)?.until ?? 0) > this.clock.now();
  }

  /**
   * What a task costs per second on a machine. The paper's workers run one task at a time; ours
   * share a machine, so a task pays for the share that it keeps others from.
   */
  private pricePerS(machine: Machine, task: Room): number {
    const type = this.machines.type(machine.type);
    if (!type) return 0;
    const share = Math.max(
      task.cpus / type.cpus,
      type.gpus > 0 ? task.gpus / type.gpus : 0,
      task.memoryGb / type.memoryGb,
    );
    return ((machine.spot ? type.spotPrice : type.price) * share) / 3600;
  }

  /** Requeues the tasks of machines that are gone or whose lease has surely run out. */
  private requeueLost(): void {
    const now = this.clock.now();
    if (now - this.sweptAt < SWEEP_MS) return;
    this.sweptAt = now;
    for (const name of [...this.tasks.machines()]) {
      const gone = this.machines.recordedState(name) === 'gone';
      if (!gone && now < this.machines.deadAt(name)) continue;
      const lost = [...this.tasks.on(name)];
      this.log.info({ machine: name, tasks: lost.length, gone }, 'machine lost, its tasks wait');
      for (const [slot, chunk] of lost) this.tasks.requeue(chunk, slot);
    }
    this.machines.sweep();
  }

  /** Gives tasks back to the leader that found no room here for a while. */
  private release(): void {
    const now = this.clock.now();
    for (const chunk of [...this.tasks.waiting]) {
      const spec = this.spec(chunk.job);
      if (chunk.record.attempt !== undefined) continue;
      if (spec === null || this.pauses(chunk.job)) continue;
      // The leader queues lower work here ahead of the room for it; urgent work must not wait.
      const urgent = rankOf(spec.priority) >= rankOf('high');
      const patience = urgent ? RELEASE_MS : QUEUE_RELEASE_MS;
      for (const slot of [...chunk.waiting]) {
        if (now - slot.pendingSince >= patience) this.tasks.giveBack(chunk, slot);
      }
    }
  }
}
