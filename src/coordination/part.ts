import {
  ATTEMPT_PARTS,
  ATTEMPT_STEP,
  CLOCK_DRIFT,
  COMMANDS_MAX,
  FAILURE_PAUSE_MAX_S,
  FAILURE_PAUSE_S,
  FAULTY_ERRORS,
  FETCH_SHARE,
  GATHER_MS,
  GATHER_SETTLED_MS,
  GATHER_USE,
  LEASE_MARGIN_MS,
  RELEASE_MS,
  SILENT_REPORTS,
  STATUS_SHARD,
  TOKEN_STEP,
} from '../constants.js';
import type { Committer } from '../bookkeeping/committer.js';
import {
  ARMS,
  armKey,
  chunkPrefix,
  jobKey,
  machineKey,
  readChunkKey,
  statusKey,
  CATALOG,
  STATUSES,
} from '../bookkeeping/keys.js';
import type { Log } from '../bookkeeping/log.js';
import { readRanges, writeRanges } from '../bookkeeping/ranges.js';
import type {
  ChunkRecord,
  JobRecord,
  MachineHealth,
  MachineRecord,
  StatusRecord,
} from '../bookkeeping/records.js';
import type { View } from '../bookkeeping/view.js';
import type { Change, Guard } from '../protocol/state-api.js';
import {
  rankOf,
  type Command,
  type JobSpec,
  type MachineType,
  type TaskReport,
  type WorkerReport,
} from '../protocol/terms.js';
import type { WorkerApi } from '../protocol/worker-api.js';
import type { Clock } from '../transport/clock.js';
import type { ArmRecord, Bandit } from './bandit.js';

interface Slot {
  index: number;
  state: 'pending' | 'live' | 'done';
  machine: string;
  attempt: number;
  /** Steady time at which a report first showed it running; null: not yet. */
  runningAt: number | null;
  /** Being stopped to make room. */
  halting: boolean;
  /** Its start, or its stop, went out and no later report shows that it was lost. */
  startSent: boolean;
  stopSent: boolean;
  pendingSince: number;
  context: number[] | null;
}

interface Chunk {
  key: string;
  job: string;
  record: ChunkRecord;
  slots: Map<number, Slot>;
  /** As last committed. */
  stored: ChunkRecord;
  dirty: boolean;
}

/** Commands sent straight to a worker whose end is not known yet. */
interface Direct {
  session: number;
  attempts: Set<number>;
  /** No answer came: a report with this token, or of a later session, shows that they are fenced. */
  fence: number | null;
}

interface Machine {
  name: string;
  address: string;
  /** Added to the part's token: raised to fence commands that went unanswered. */
  bump: number;
  direct: Direct | null;
  type: string;
  zone: string;
  spot: boolean;
  session: number;
  seq: number;
  heardAt: number;
  /** Steady time of our last answer with 200. */
  answeredAt: number;
  /** The worker has shown our token, so answers of former owners no longer count. */
  ours: boolean;
  leaving: boolean;
  /** Its services are being moved away: nothing is placed here for a while. */
  closing: boolean;
  tasks: TaskReport[];
  images: Set<string>;
  /** Jobs that failed here since the last success. */
  errors: Set<string>;
}

interface Room {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/** A machine that may take tasks, the room left on it, and whether it holds none. */
interface Place {
  machine: Machine;
  room: Room;
  empty: boolean;
}

export interface PartOptions {
  part: string;
  number: number;
  term: number;
  roleKey: string;
  roleMark: number;
  fenceAt: number;
  leaseS: number;
  reportS: number;
  txnOps: number;
  valueBytes: number;
  alpha: number;
  penalty: number;
  snapshotMs: number;
  /** Seconds within which tasks of a class should start. */
  startWithinS: Readonly<Record<string, number>>;
  /** Still the owner, as far as the view knows. */
  alive: () => boolean;
}

export type ReportAnswer = { ok: true; token: number; commands: Command[] } | { ok: false };

function fits(room: Room, need: Room): boolean {
  const slack = 1e-9;
  return (
    room.cpus + slack >= need.cpus &&
    room.gpus + slack >= need.gpus &&
    room.memoryGb + slack >= need.memoryGb
  );
}

function take(room: Room, need: Room): void {
  room.cpus -= need.cpus;
  room.gpus -= need.gpus;
  room.memoryGb -= need.memoryGb;
}

/**
 * One part in the hands of its owner: its machines and the tasks assigned to it. Wanted is that
 * every task runs on one machine and that machines run nothing else; reports tell what is, and
 * the answers to them carry the commands that make up the difference.
 */
export class Part {
  readonly machines = new Map<string, Machine>();
  private readonly chunks = new Map<string, Chunk>();
  private readonly byJob = new Map<string, Set<Chunk>>();
  private attempts = 0;
  private bandit: Bandit | null = null;
  private readonly failures = new Map<string, { count: number; until: number }>();
  private readonly statusSent = new Map<string, string>();
  private busy = false;
  private snapshotAt = 0;
  private gatherAt = 0;
  private readonly baseToken: number;

  constructor(
    private readonly options: PartOptions,
    private readonly view: View,
    private readonly committer: Committer,
    private readonly workers: WorkerApi,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly wake: () => void,
  ) {
    this.baseToken = options.term * TOKEN_STEP;
    for (const [key] of view.below<ChunkRecord>(chunkPrefix(options.part))) this.changed(key);
    this.snapshotAt = clock.now() + options.snapshotMs;
    this.inherit();
  }

  /**
   * The machines that the owner before us knew are ours from the start, heard of or not. Without
   * this the first status of a new owner is empty, and the leader takes a part's whole fleet for
   * machines that never came up, and returns it.
   */
  private inherit(): void {
    const prefix = `${STATUSES}${this.options.part}/`;
    for (const [key, held] of this.view.below<StatusRecord>(prefix)) {
      this.statusSent.set(key, JSON.stringify(held.value.machines));
      for (const [name, [type, zone, spot, health]] of Object.entries(held.value.machines)) {
        const machine = this.newMachine(name, type, zone, spot === 1);
        machine.leaving = health === 'leaving';
        machine.answeredAt = -Infinity;
        this.machines.set(name, machine);
      }
    }
  }

  private newMachine(name: string, type: string, zone: string, spot: boolean): Machine {
    const now = this.clock.now();
    return {
      name,
      address: '',
      bump: 0,
      direct: null,
      type,
      zone,
      spot,
      session: 0,
      seq: 0,
      heardAt: now,
      answeredAt: now,
      ours: false,
      leaving: false,
      closing: false,
      tasks: [],
      images: new Set(),
      errors: new Set(),
    };
  }

  // --- What the state service holds ----------------------------------------------------------

  /** A key of the view changed. */
  changed(key: string): void {
    if (!key.startsWith(chunkPrefix(this.options.part))) return;
    const held = this.view.get<ChunkRecord>(key);
    const known = this.chunks.get(key);
    if (!held) {
      if (known) this.drop(known);
      return;
    }
    if (known) return;
    const name = readChunkKey(key);
    if (!name) return;
    const chunk: Chunk = {
      key,
      job: name.job,
      record: held.value,
      stored: held.value,
      slots: new Map(),
      dirty: false,
    };
    this.fill(chunk);
    this.chunks.set(key, chunk);
    const group = this.byJob.get(chunk.job) ?? new Set();
    group.add(chunk);
    this.byJob.set(chunk.job, group);
  }

  private fill(chunk: Chunk): void {
    chunk.slots.clear();
    const done = new Set(readRanges(chunk.stored.done));
    for (const index of readRanges(chunk.stored.ids)) {
      const live = chunk.stored.live[String(index)];
      chunk.slots.set(index, {
        index,
        state: done.has(index) ? 'done' : live ? 'live' : 'pending',
        machine: live?.[0] ?? '',
        attempt: live?.[1] ?? 0,
        runningAt: null,
        halting: false,
        startSent: false,
        stopSent: false,
        pendingSince: this.clock.now(),
        context: null,
      });
    }
  }

  private drop(chunk: Chunk): void {
    this.chunks.delete(chunk.key);
    const group = this.byJob.get(chunk.job);
    group?.delete(chunk);
    if (group?.size === 0) {
      this.byJob.delete(chunk.job);
      this.failures.delete(chunk.job);
    }
  }

  private spec(job: string): JobSpec | null {
    return this.view.get<JobRecord>(jobKey(job))?.value.spec ?? null;
  }

  private machineState(name: string): MachineRecord['state'] | null {
    return this.view.get<MachineRecord>(machineKey(name))?.value.state ?? null;
  }

  private find(job: string, index: number): { chunk: Chunk; slot: Slot } | null {
    for (const chunk of this.byJob.get(job) ?? []) {
      const slot = chunk.slots.get(index);
      if (slot) return { chunk, slot };
    }
    return null;
  }

  private *live(): Generator<{ chunk: Chunk; slot: Slot }> {
    for (const chunk of this.chunks.values()) {
      for (const slot of chunk.slots.values()) {
        if (slot.state === 'live') yield { chunk, slot };
      }
    }
  }

  /** Whether the state service holds this placement: only then may its start be sent. */
  private committed(chunk: Chunk, slot: Slot): boolean {
    return chunk.stored.live[String(slot.index)]?.[1] === slot.attempt;
  }

  private requeue(chunk: Chunk, slot: Slot): void {
    slot.state = 'pending';
    slot.machine = '';
    slot.runningAt = null;
    slot.halting = false;
    slot.startSent = false;
    slot.stopSent = false;
    slot.context = null;
    slot.pendingSince = this.clock.now();
    chunk.dirty = true;
  }

  /** What is on hand, for whoever watches the program. */
  counts(): { machines: number; placed: number; waiting: number } {
    let placed = 0;
    let waiting = 0;
    for (const chunk of this.chunks.values()) {
      for (const slot of chunk.slots.values()) {
        if (slot.state === 'live') placed++;
        else if (slot.state === 'pending') waiting++;
      }
    }
    return { machines: this.machines.size, placed, waiting };
  }

  // --- Reports -------------------------------------------------------------------------------

  handleReport(report: WorkerReport): ReportAnswer {
    const newer = report.token >= this.baseToken + TOKEN_STEP;
    if (newer || this.machineState(report.machine) === 'gone') return { ok: false };
    const now = this.clock.now();
    let machine = this.machines.get(report.machine);
    if (!machine) {
      machine = this.newMachine(report.machine, report.type, report.zone, report.spot);
      this.machines.set(report.machine, machine);
      this.log.info({ machine: report.machine, type: report.type }, 'machine reports');
    }
    // Older than what is known, for example since a direct answer overtook it: it proves nothing.
    if (!this.observe(machine, report)) {
      if (report.session === machine.session) machine.answeredAt = now;
      return { ok: true, token: this.tokenOf(machine), commands: [] };
    }
    machine.answeredAt = now;
    const commands = this.commandsFor(machine, true);
    this.wake();
    return { ok: true, token: this.tokenOf(machine), commands };
  }

  private tokenOf(machine: Machine): number {
    return this.baseToken + machine.bump;
  }

  /** Takes over what a report shows; false: an older one than what is known. */
  private observe(machine: Machine, report: WorkerReport): boolean {
    if (
      report.session < machine.session ||
      (report.session === machine.session && report.seq <= machine.seq)
    ) {
      return false;
    }
    const now = this.clock.now();
    machine.session = report.session;
    machine.seq = report.seq;
    machine.address = report.address;
    machine.heardAt = now;
    machine.leaving = report.noticeS !== null;
    machine.tasks = report.tasks;
    // Only the owner at this term hands its tokens out, so no former owner is heard any more.
    machine.ours = report.token >= this.baseToken;
    if (machine.ours) machine.bump = Math.max(machine.bump, report.token - this.baseToken);
    const { direct } = machine;
    if (
      direct &&
      (report.session > direct.session || (direct.fence !== null && report.token >= direct.fence))
    ) {
      machine.direct = null;
    }
    const listed = new Set<Slot>();
    for (const one of report.tasks) {
      const found = this.match(machine, one);
      if (!found) continue;
      listed.add(found.slot);
      if (one.state === 'exited') this.exited(found.chunk, found.slot, one, machine, now);
      else if (one.state !== 'fetching') {
        found.slot.runningAt ??= now;
        const spec = this.spec(found.chunk.job);
        if (spec) machine.images.add(spec.image);
      }
    }
    // Not on the machine, which is proof only where the worker has heard nobody but us, and where
    // no command sent straight to it is still on its way.
    const usable = this.usable(machine);
    for (const { chunk, slot } of this.live()) {
      if (slot.machine !== machine.name || listed.has(slot)) continue;
      if (!machine.ours || machine.direct?.attempts.has(slot.attempt)) continue;
      slot.startSent = false;
      if (this.spec(chunk.job) === null || !usable || slot.halting) this.requeue(chunk, slot);
    }
    return true;
  }

  private usable(machine: Machine): boolean {
    return !machine.leaving && this.machineState(machine.name) !== 'drain';
  }

  /** The placement that a reported task is, if it is one. */
  private match(machine: Machine, one: TaskReport): { chunk: Chunk; slot: Slot } | null {
    const found = this.find(one.task.job, one.task.index);
    const slot = found?.slot;
    const same =
      slot?.state === 'live' && slot.machine === machine.name && slot.attempt === one.attempt;
    return found && same ? found : null;
  }

  /** What makes the machine do what is wanted; `all`: also what was sent before. */
  private commandsFor(machine: Machine, all: boolean): Command[] {
    const commands: Command[] = [];
    const room = this.capacity(machine.type);
    const listed = new Set<Slot>();
    for (const one of machine.tasks) {
      const chunk = this.find(one.task.job, one.task.index)?.chunk;
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
    if (this.usable(machine)) this.startMissing(machine, listed, room, all, commands);
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
    const chunk = this.find(one.task.job, one.task.index)?.chunk;
    const stored = chunk?.stored.live[String(one.task.index)];
    if (stored?.[1] !== one.attempt && !machine.direct?.attempts.has(one.attempt)) {
      commands.push({ op: 'forget', task: one.task, attempt: one.attempt });
    }
  }

  private exited(chunk: Chunk, slot: Slot, one: TaskReport, machine: Machine, now: number): void {
    const spec = this.spec(chunk.job);
    if (one.cause === 'done') {
      if (slot.context && slot.runningAt !== null && this.bandit) {
        const cost = ((now - slot.runningAt) / 1000) * this.pricePerS(machine, chunk.record);
        this.bandit.finished(machine.type, slot.context, cost);
      }
      machine.errors.clear();
      this.failures.delete(chunk.job);
      slot.state = 'done';
      slot.machine = '';
      chunk.dirty = true;
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
    this.requeue(chunk, slot);
    if (spec === null) chunk.dirty = true;
  }

  /** Starts what is placed on the machine and not there, where its room allows. */
  private startMissing(
    machine: Machine,
    listed: Set<Slot>,
    room: Room,
    all: boolean,
    commands: Command[],
  ): void {
    const missing = [...this.live()].filter(
      ({ slot }) => slot.machine === machine.name && !listed.has(slot),
    );
    for (const { chunk, slot } of missing) if (slot.startSent) take(room, chunk.record);
    for (const { chunk, slot } of missing) {
      if (!this.committed(chunk, slot) || slot.halting || this.spec(chunk.job) === null) continue;
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
    for (const machine of this.machines.values()) {
      if (machine.direct || !machine.ours || machine.address === '' || !this.options.alive()) {
        continue;
      }
      if (this.health(machine) === 'silent') continue;
      const commands = this.commandsFor(machine, false);
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
    try {
      const result = await this.workers.command(
        machine.address,
        this.tokenOf(machine),
        machine.session,
        commands,
      );
      if (machine.direct === direct) machine.direct = null;
      this.observe(machine, result.report);
      this.wake();
    } catch (error) {
      if (machine.direct !== direct) return;
      machine.bump++;
      direct.fence = this.tokenOf(machine);
      this.log.info({ machine: machine.name, error: String(error) }, 'direct commands unanswered');
    }
  }

  // --- Rounds --------------------------------------------------------------------------------

  /** One round: find the difference between what is wanted and what is, and commit it. */
  async round(): Promise<void> {
    if (this.busy) return;
    this.busy = true;
    try {
      if (!this.bandit && !(await this.loadBandit())) return;
      this.buryDead();
      this.windUp();
      this.place();
      this.gather();
      this.release();
      await this.flush();
      this.sendDirect();
      await this.writeStatus();
      await this.snapshot();
    } finally {
      this.busy = false;
    }
  }

  private types(): MachineType[] {
    return this.view.get<MachineType[]>(CATALOG)?.value ?? [];
  }

  private async loadBandit(): Promise<boolean> {
    const types = this.types().map((type) => type.name);
    if (types.length === 0) return false;
    // Loaded late: the matrix library is the largest of all, and start-up time is dear.
    const { Bandit: Learner } = await import('./bandit.js');
    const bandit = new Learner(types, this.options.alpha, this.options.penalty);
    for (const [key, held] of this.view.below<ArmRecord>(`${ARMS}${this.options.part}/`)) {
      bandit.restore(key.slice(key.lastIndexOf('/') + 1), held.value);
    }
    this.bandit = bandit;
    return true;
  }

  /**
   * What a task costs per second on a machine. The paper's workers run one task at a time; ours
   * share a machine, so a task pays for the share that it keeps others from.
   */
  private pricePerS(machine: Machine, task: Room): number {
    const type = this.types().find((one) => one.name === machine.type);
    if (!type) return 0;
    const share = Math.max(
      task.cpus / type.cpus,
      type.gpus > 0 ? task.gpus / type.gpus : 0,
      task.memoryGb / type.memoryGb,
    );
    return ((machine.spot ? type.spotPrice : type.price) * share) / 3600;
  }

  private capacity(typeName: string): Room {
    const type = this.types().find((one) => one.name === typeName);
    return { cpus: type?.cpus ?? 0, gpus: type?.gpus ?? 0, memoryGb: type?.memoryGb ?? 0 };
  }

  /** The steady time from which nothing of ours can be on this machine any more. */
  private deadAt(name: string): number {
    const machine = this.machines.get(name);
    if (!machine) return this.options.fenceAt;
    const lease = this.options.leaseS * 1000 * (1 + CLOCK_DRIFT) + LEASE_MARGIN_MS;
    const answered = machine.answeredAt + lease;
    return machine.ours ? answered : Math.max(answered, this.options.fenceAt);
  }

  /** Requeues the tasks of machines that are gone or whose lease has surely run out. */
  private buryDead(): void {
    const now = this.clock.now();
    for (const { chunk, slot } of this.live()) {
      const gone = this.machineState(slot.machine) === 'gone';
      if (!gone && now < this.deadAt(slot.machine)) continue;
      this.log.info(
        { task: `${chunk.job}/${slot.index}`, machine: slot.machine, gone },
        'machine lost, task waits again',
      );
      this.requeue(chunk, slot);
    }
    for (const machine of this.machines.values()) {
      const gone = this.machineState(machine.name) === 'gone';
      if (gone || now > this.deadAt(machine.name) + this.options.leaseS * 1000) {
        this.machines.delete(machine.name);
      }
    }
  }

  /** Jobs that are over: what was never sent goes at once, the rest when reports prove its end. */
  private windUp(): void {
    for (const chunk of this.chunks.values()) {
      if (this.spec(chunk.job) !== null) continue;
      for (const slot of chunk.slots.values()) {
        // Not even committed: nobody can have sent it.
        if (slot.state === 'live' && !this.committed(chunk, slot)) this.requeue(chunk, slot);
      }
    }
  }

  private health(machine: Machine): MachineHealth {
    if (machine.leaving) return 'leaving';
    if (machine.errors.size >= FAULTY_ERRORS) return 'faulty';
    const silentMs = this.clock.now() - machine.heardAt;
    return silentMs > this.options.reportS * 1000 * SILENT_REPORTS ? 'silent' : 'ok';
  }

  private usableMachines(): Place[] {
    const rooms = new Map<string, Place>();
    const order = [...this.machines.values()].sort(
      (a, b) => Number(a.spot) - Number(b.spot) || (a.name < b.name ? -1 : 1),
    );
    for (const machine of order) {
      const { name } = machine;
      if (this.health(machine) !== 'ok' || machine.closing) continue;
      if ((this.machineState(name) ?? 'rented') !== 'rented') continue;
      rooms.set(name, { machine, room: this.capacity(machine.type), empty: true });
    }
    for (const { chunk, slot } of this.live()) {
      const entry = rooms.get(slot.machine);
      if (entry) entry.empty = false;
      if (entry && !slot.halting) take(entry.room, chunk.record);
    }
    return [...rooms.values()];
  }

  private place(): void {
    const now = this.clock.now();
    const waiting: { chunk: Chunk; slot: Slot; spec: JobSpec; due: number; at: number }[] = [];
    for (const chunk of this.chunks.values()) {
      const job = this.view.get<JobRecord>(jobKey(chunk.job))?.value;
      if (!job || (this.failures.get(chunk.job)?.until ?? 0) > now) continue;
      for (const slot of chunk.slots.values()) {
        if (slot.state !== 'pending') continue;
        const due = job.spec.deadlineS === null ? Infinity : job.at + job.spec.deadlineS * 1000;
        waiting.push({ chunk, slot, spec: job.spec, due, at: job.at });
      }
    }
    if (waiting.length === 0) return;
    waiting.sort(
      (a, b) =>
        rankOf(b.spec.priority) - rankOf(a.spec.priority) ||
        (a.due === b.due ? a.at - b.at : a.due - b.due) ||
        a.slot.index - b.slot.index,
    );
    const machines = this.usableMachines();
    const load = this.load();
    for (const { chunk, slot, spec } of waiting) {
      const target =
        this.choose(spec, chunk, machines, load) ?? this.preempt(spec, chunk, machines);
      if (!target) {
        // Room is short: a machine that was being emptied is needed after all.
        for (const machine of this.machines.values()) machine.closing = false;
        continue;
      }
      take(target.room, chunk.record);
      target.empty = false;
      load.set(target.machine.type, (load.get(target.machine.type) ?? 0) + 1);
      slot.state = 'live';
      slot.machine = target.machine.name;
      slot.attempt = this.nextAttempt();
      slot.runningAt = null;
      slot.halting = false;
      slot.startSent = false;
      slot.stopSent = false;
      slot.context = this.bandit?.context(this.taskClass(spec), target.machine.type, load) ?? null;
      chunk.dirty = true;
    }
  }

  private taskClass(spec: JobSpec): string {
    return `${spec.class}/${spec.cpus}/${spec.gpus}`;
  }

  private nextAttempt(): number {
    const { term, number } = this.options;
    return (term * ATTEMPT_PARTS + number) * ATTEMPT_STEP + ++this.attempts;
  }

  /** Queued and running tasks by machine type. */
  private load(): Map<string, number> {
    const load = new Map<string, number>();
    for (const { slot } of this.live()) {
      const type = this.machines.get(slot.machine)?.type;
      if (type) load.set(type, (load.get(type) ?? 0) + 1);
    }
    return load;
  }

  private allows(spec: JobSpec, chunk: Chunk, machine: Machine): boolean {
    return (
      machine.zone === chunk.record.zone &&
      (spec.zone === null || spec.zone === machine.zone) &&
      (spec.types === null || spec.types.includes(machine.type)) &&
      (spec.spot || !machine.spot)
    );
  }

  /** The design's ordinary path: the bandit picks the type, first fit in fixed order fills it. */
  private choose(
    spec: JobSpec,
    chunk: Chunk,
    machines: Place[],
    load: Map<string, number>,
  ): Place | null {
    const free = machines.filter(
      ({ machine, room }) => fits(room, chunk.record) && this.allows(spec, chunk, machine),
    );
    if (free.length === 0 || !this.bandit) return null;
    // Work with an aim for its start goes where its image is there in time, if that is anywhere.
    const within = this.options.startWithinS[spec.class];
    const quick =
      within === undefined
        ? []
        : free.filter(({ machine }) => this.fetchS(machine, spec) <= within * FETCH_SHARE);
    const open = quick.length > 0 ? quick : free;
    const types = [...new Set(open.map(({ machine }) => machine.type))];
    let best = types[0] ?? '';
    if (types.length > 1) {
      let bestScore = -Infinity;
      for (const type of types) {
        const score = this.bandit.score(
          type,
          this.bandit.context(this.taskClass(spec), type, load),
        );
        if (score > bestScore) {
          bestScore = score;
          best = type;
        }
      }
    }
    // Services fill the fixed order from its start, arrays from its end, where the spot machines
    // are: what runs for long stays together, and the machines between the two fall idle.
    const ofType = open.filter(({ machine }) => machine.type === best);
    if (spec.kind === 'array') ofType.reverse();
    // An empty machine comes last: it may soon be returned.
    ofType.sort((a, b) => Number(a.empty) - Number(b.empty));
    return ofType.find(({ machine }) => machine.images.has(spec.image)) ?? ofType[0] ?? null;
  }

  /** Seconds that a machine will take to fetch a job's image. */
  private fetchS(machine: Machine, spec: JobSpec): number {
    if (machine.images.has(spec.image)) return 0;
    const type = this.types().find((one) => one.name === machine.type);
    return spec.imageGb / Math.max(1e-6, type?.fetchGbPerS ?? 0);
  }

  /** Room made by stopping work of lower priority; the newest of the lowest goes first. */
  private preempt(spec: JobSpec, chunk: Chunk, machines: Place[]): Place | null {
    const rank = rankOf(spec.priority);
    let best: { entry: Place; victims: Slot[] } | null = null;
    for (const entry of machines) {
      if (!this.allows(spec, chunk, entry.machine)) continue;
      const lower = [...this.live()]
        .filter(({ chunk: other, slot }) => {
          if (slot.machine !== entry.machine.name || slot.halting) return false;
          const otherSpec = this.spec(other.job);
          return otherSpec !== null && rankOf(otherSpec.priority) < rank;
        })
        .sort((a, b) => (b.slot.runningAt ?? Infinity) - (a.slot.runningAt ?? Infinity));
      const room = { ...entry.room };
      const victims: Slot[] = [];
      for (const { chunk: other, slot } of lower) {
        if (fits(room, chunk.record)) break;
        take(room, {
          cpus: -other.record.cpus,
          gpus: -other.record.gpus,
          memoryGb: -other.record.memoryGb,
        });
        victims.push(slot);
      }
      if (!fits(room, chunk.record)) continue;
      if (best === null || victims.length < best.victims.length) best = { entry, victims };
    }
    if (best === null) return null;
    const { entry, victims } = best;
    for (const { chunk: other, slot } of this.live()) {
      if (!victims.includes(slot)) continue;
      slot.halting = true;
      take(entry.room, {
        cpus: -other.record.cpus,
        gpus: -other.record.gpus,
        memoryGb: -other.record.memoryGb,
      });
      if (!this.committed(other, slot)) this.requeue(other, slot);
    }
    this.log.info(
      { job: spec.id, machine: entry.machine.name, victims: victims.length },
      'stopping lower work to make room',
    );
    return entry;
  }

  /**
   * Moves the services of one little-used machine to others that have room and their images, so
   * that it falls idle and is returned. A replica is away for well under a second; one that started
   * a moment ago stays, and nothing moves while tasks wait.
   */
  private gather(): void {
    const now = this.clock.now();
    const pending = [...this.chunks.values()].some((chunk) =>
      [...chunk.slots.values()].some((slot) => slot.state === 'pending'),
    );
    if (pending || now < this.gatherAt) return;
    this.gatherAt = now + GATHER_MS;
    for (const machine of this.machines.values()) machine.closing = false;
    const places = this.usableMachines().filter((place) => !place.empty && place.machine.ours);
    const byUse = places.sort((a, b) => this.use(a) - this.use(b));
    for (const place of byUse) {
      if (this.use(place) > GATHER_USE) return;
      const tasks = [...this.live()].filter(({ slot }) => slot.machine === place.machine.name);
      const movable = tasks.every(({ chunk, slot }) => {
        const settled = slot.runningAt !== null && now - slot.runningAt > GATHER_SETTLED_MS;
        return this.spec(chunk.job)?.kind === 'service' && settled && !slot.halting;
      });
      if (!movable) continue;
      const rooms = places
        .filter((other) => other !== place && this.use(other) >= this.use(place))
        .map((other) => ({ ...other, room: { ...other.room } }));
      const fit = tasks.every(({ chunk }) => {
        const spec = this.spec(chunk.job);
        const target = rooms.find(
          ({ machine, room }) =>
            spec !== null &&
            fits(room, chunk.record) &&
            this.allows(spec, chunk, machine) &&
            machine.images.has(spec.image),
        );
        if (target) take(target.room, chunk.record);
        return target !== undefined;
      });
      if (!fit) continue;
      place.machine.closing = true;
      for (const { slot } of tasks) slot.halting = true;
      this.log.info({ machine: place.machine.name, tasks: tasks.length }, 'moving services away');
      return;
    }
  }

  /** Share of a machine's CPUs in use. */
  private use(place: Place): number {
    const { cpus } = this.capacity(place.machine.type);
    return cpus > 0 ? 1 - place.room.cpus / cpus : 1;
  }

  /** Gives tasks back to the leader that found no room here for a while. */
  private release(): void {
    const now = this.clock.now();
    for (const chunk of this.chunks.values()) {
      if (this.spec(chunk.job) === null) continue;
      for (const slot of [...chunk.slots.values()]) {
        if (slot.state !== 'pending' || now - slot.pendingSince < RELEASE_MS) continue;
        if ((this.failures.get(chunk.job)?.until ?? 0) > now) continue;
        chunk.slots.delete(slot.index);
        chunk.dirty = true;
      }
    }
  }

  // --- Commits -------------------------------------------------------------------------------

  private write(chunk: Chunk): ChunkRecord {
    const live: ChunkRecord['live'] = {};
    const done: number[] = [];
    for (const slot of chunk.slots.values()) {
      if (slot.state === 'live') live[String(slot.index)] = [slot.machine, slot.attempt];
      else if (slot.state === 'done') done.push(slot.index);
    }
    return {
      ...chunk.stored,
      ids: writeRanges(chunk.slots.keys()),
      done: writeRanges(done),
      live,
    };
  }

  private async flush(): Promise<void> {
    for (;;) {
      const guards: Guard[] = [{ key: this.options.roleKey, mark: this.options.roleMark }];
      const changes: Change[] = [];
      const written: { chunk: Chunk; record: ChunkRecord | null }[] = [];
      const machines = new Set<string>();
      for (const chunk of this.chunks.values()) {
        const idle = ![...chunk.slots.values()].some((slot) => slot.state === 'live');
        const over = this.spec(chunk.job) === null && idle;
        const empty = chunk.slots.size === 0;
        if (!chunk.dirty && !over && !empty) continue;
        if (changes.length >= this.options.txnOps) break;
        const record = this.write(chunk);
        // A machine that the leader takes out of use meanwhile gets no new task.
        const fresh = Object.entries(record.live)
          .filter(([index, [, attempt]]) => chunk.stored.live[index]?.[1] !== attempt)
          .map(([, [machine]]) => machine);
        const all = new Set([...machines, ...fresh]);
        const room = this.options.txnOps * 4 - 1 - this.options.txnOps;
        if (all.size > room && changes.length > 0) break;
        for (const machine of fresh) machines.add(machine);
        guards.push({ key: chunk.key, mark: this.view.markOf(chunk.key) });
        if (over || empty) {
          changes.push({ key: chunk.key, remove: true });
          written.push({ chunk, record: null });
        } else {
          changes.push({ key: chunk.key, value: record });
          written.push({ chunk, record });
        }
        chunk.dirty = false;
      }
      if (changes.length === 0) return;
      for (const machine of machines) {
        const key = machineKey(machine);
        guards.push({ key, mark: this.view.markOf(key) });
      }
      const result = await this.committer.commit('part', guards, changes, this.options.alive);
      if (!this.options.alive()) return;
      if (result.kind === 'done') {
        for (const { chunk, record } of written) {
          if (record) chunk.stored = record;
          else this.drop(chunk);
        }
        continue;
      }
      // Nothing of this was written, or another's word is newer: what is stored counts again.
      this.log.info({ result }, 'placements not committed');
      for (const { chunk } of written) this.resync(chunk);
      return;
    }
  }

  /** Goes back to what is stored; reports tell again what was heard meanwhile. */
  private resync(chunk: Chunk): void {
    const held = this.view.get<ChunkRecord>(chunk.key);
    if (!held) {
      this.drop(chunk);
      return;
    }
    chunk.stored = held.value;
    chunk.record = held.value;
    chunk.dirty = false;
    this.fill(chunk);
  }

  private async writeStatus(): Promise<void> {
    const names = [...this.machines.keys()].sort();
    const shards = Math.max(1, Math.ceil(names.length / STATUS_SHARD));
    for (let shard = 0; shard < Math.max(shards, this.statusSent.size); shard++) {
      const machines: StatusRecord['machines'] = {};
      for (const name of names.slice(shard * STATUS_SHARD, (shard + 1) * STATUS_SHARD)) {
        const machine = this.machines.get(name);
        if (!machine) continue;
        const health = this.health(machine);
        machines[name] = [machine.type, machine.zone, machine.spot ? 1 : 0, health];
      }
      const key = statusKey(this.options.part, shard);
      const text = JSON.stringify(machines);
      if (this.statusSent.get(key) === text) continue;
      const value: StatusRecord = { machines };
      const guards = [
        { key: this.options.roleKey, mark: this.options.roleMark },
        { key, mark: this.view.markOf(key) },
      ];
      const result = await this.committer.commit(
        'part',
        guards,
        [{ key, value }],
        this.options.alive,
      );
      if (result.kind !== 'done') return;
      this.statusSent.set(key, text);
    }
  }

  private async snapshot(): Promise<void> {
    const now = this.clock.now();
    if (now < this.snapshotAt || !this.bandit) return;
    this.snapshotAt = now + this.options.snapshotMs;
    for (const type of this.types()) {
      const record = this.bandit.record(type.name, this.options.valueBytes);
      const key = armKey(this.options.part, type.name);
      if (!record || JSON.stringify(this.view.get(key)?.value) === JSON.stringify(record)) continue;
      const guards = [
        { key: this.options.roleKey, mark: this.options.roleMark },
        { key, mark: this.view.markOf(key) },
      ];
      await this.committer.commit('part', guards, [{ key, value: record }], this.options.alive);
    }
  }
}
