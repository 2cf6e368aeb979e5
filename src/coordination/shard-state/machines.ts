/** The machines of a part, and what is known of them. */

import {
  CLOCK_DRIFT,
  FAULTY_ERRORS,
  LEASE_MARGIN_MS,
  SILENT_REPORTS,
  TOKEN_STEP,
} from '../../constants.js';
import { readCatalog } from '../../storage/catalog.js';
import type { MachineHealth, MachineRecord } from '../../storage/records.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import type { MachineType, WorkerReport } from '../../protocol/model.js';
import type { Clock } from '../../transport/clock.js';
import { createMachine, type Machine } from './machine.js';
import type { Room } from '../capacity/resources.js';
import { isRunningOut } from '../election/term-numbers.js';

const NO_TYPES: MachineType[] = [];

/** What the machines need to know of their part. */
export interface MachinesOptions {
  term: number;
  fenceAt: number;
  leaseS: number;
  reportS: number;
}

/** What a report is worth: nothing, news, or news that also ends the session before it. */
export type Worth = 'older' | 'newer' | 'newSession';

/** Commands sent straight to the worker have ended with their session, or are fenced by a token. */
function settleDirect(machine: Machine, report: WorkerReport): void {
  const { direct } = machine;
  if (!direct) return;
  const fenced = direct.fence !== null && report.token >= direct.fence;
  if (report.session > direct.session || fenced) machine.direct = null;
}

/**
 * A part's machines, and what their reports and answers prove. A report shows what was on the
 * machine when it was sent. That the machine hears us it shows only by our latest token, which is
 * raised whenever there is doubt; until then nothing new goes there.
 */
export class Machines {
  readonly all = new Map<string, Machine>();
  readonly baseToken: number;
  private sorted: Machine[] | null = null;
  /** New entries begin at this one. */
  private highestBump = 0;
  /** The highest that any machine was given in this term. */
  private mostBump = 0;
  private catalog: { value: MachineType[]; byName: Map<string, MachineType> } | null = null;

  constructor(
    private readonly options: MachinesOptions,
    private readonly replica: StoreReplica,
    private readonly clock: Clock,
  ) {
    this.baseToken = options.term * TOKEN_STEP;
  }

  /** Begins to keep a machine; it counts as answered now. */
  add(name: string, type: string, zone: string, spot: boolean): Machine {
    const now = this.clock.now();
    const machine = createMachine({ name, type, zone, spot }, this.highestBump, now);
    this.all.set(name, machine);
    this.sorted = null;
    return machine;
  }

  /** Copies of its reports may still come: an entry made anew must not take them for proof. */
  remove(machine: Machine): void {
    this.all.delete(machine.name);
    this.sorted = null;
    this.highestBump = Math.max(this.highestBump, machine.bump + 1);
    this.mostBump = Math.max(this.mostBump, this.highestBump);
  }

  /** The part's fixed order: ordinary machines first, by name. */
  inOrder(): readonly Machine[] {
    this.sorted ??= [...this.all.values()].sort(
      (a, b) => Number(a.spot) - Number(b.spot) || (a.name < b.name ? -1 : 1),
    );
    return this.sorted;
  }

  /** The part needs a new term before its tokens reach those of the next one. */
  get isRunningOut(): boolean {
    return isRunningOut(this.mostBump, TOKEN_STEP);
  }

  /** The token that our commands to a machine carry. */
  tokenOf(machine: Machine): number {
    return this.baseToken + machine.bump;
  }

  /**
   * Makes all that was sent straight to it powerless as soon as the raised token reaches it. Old
   * tokens still prove that it hears us: nothing has gone amiss.
   */
  fence(machine: Machine): void {
    machine.bump++;
    machine.exposed = false;
    this.mostBump = Math.max(this.mostBump, machine.bump);
  }

  /** From now on only a report that shows a token not given out yet proves that it hears us. */
  doubt(machine: Machine): void {
    this.fence(machine);
    machine.proofBump = machine.bump;
    if (machine.proven) machine.asked = 0;
    machine.proven = false;
  }

  /**
   * Orders a report among what is known of its machine. `askedAt`: steady time at which we sent
   * the call that this report answers, null for a report that came by itself.
   */
  order(machine: Machine, report: WorkerReport, askedAt: number | null): Worth {
    const order = report.session - machine.session || report.seq - machine.seq;
    const shows = report.token >= this.baseToken + machine.proofBump;
    // A machine that is back at once may count anew. Its reports then look like late copies, but a
    // copy can't show a token that was first given out after everything known, nor answer a call.
    const counts =
      (shows && !machine.proven) || (askedAt !== null && machine.observedAt <= askedAt);
    if (order <= 0 && !counts) {
      this.doubtIfSilent(machine);
      return 'older';
    }
    const ended = machine.session > 0 && report.session > machine.session;
    this.takeOver(machine, report, shows);
    if (askedAt === null) machine.reportedAt = machine.observedAt;
    settleDirect(machine, report);
    // Its lease ran out although we answered: perhaps it does not hear us.
    if (ended) this.doubt(machine);
    return ended ? 'newSession' : 'newer';
  }

  /** Only late copies come of its reports: perhaps it counts anew. */
  private doubtIfSilent(machine: Machine): void {
    const silentMs = this.clock.now() - machine.observedAt;
    if (machine.proven && silentMs > 2 * this.options.reportS * 1000) this.doubt(machine);
  }

  /** `shows`: the report shows a token that proves that the machine hears us. */
  private takeOver(machine: Machine, report: WorkerReport, shows: boolean): void {
    const now = this.clock.now();
    machine.session = report.session;
    machine.seq = report.seq;
    machine.observedAt = now;
    machine.ours = report.token >= this.baseToken + machine.firstBump;
    if (machine.ours) machine.bump = Math.max(machine.bump, report.token - this.baseToken);
    machine.proven = shows;
    if (!shows) return;
    machine.provenAt = now;
    machine.asked = 0;
  }

  /** Notes that a report is answered with 200, which may renew the worker's lease. */
  answered(machine: Machine, worth: Worth): void {
    const now = this.clock.now();
    // An older report was sent before the newest one came: its answer renews to that at the most.
    const until = worth === 'older' ? machine.observedAt : now;
    machine.answeredAt = Math.max(machine.answeredAt, until);
    if (machine.proven) return;
    if (machine.asked++ === 0) machine.askedAt = now;
  }

  /**
   * False for a machine that reports for a lease and never shows that an answer got through. It is
   * no longer answered, so that time proves the end of its tasks.
   */
  mayAnswer(machine: Machine): boolean {
    const { leaseS, reportS } = this.options;
    if (machine.proven || machine.asked <= Math.ceil(leaseS / reportS)) return true;
    return this.clock.now() - machine.askedAt < leaseS * 1000;
  }

  /** The state that the leader recorded for a machine; without a record it may be used. */
  recordedState(name: string): MachineRecord['state'] {
    return this.replica.machine(name)?.state ?? 'rented';
  }

  /** Whether tasks may be started on it. */
  usable(machine: Machine): boolean {
    return machine.proven && !machine.leaving && this.recordedState(machine.name) === 'rented';
  }

  /** A machine's health as the other nodes are told. */
  health(machine: Machine): MachineHealth {
    if (machine.leaving) return 'leaving';
    if (machine.errors.size >= FAULTY_ERRORS) return 'faulty';
    // Answers to calls renew no lease: a machine whose reports don't reach us loses its tasks, and
    // what is started there by calls as well.
    const silentMs = this.clock.now() - Math.min(machine.provenAt, machine.reportedAt);
    return silentMs > this.options.reportS * 1000 * SILENT_REPORTS ? 'silent' : 'ok';
  }

  /** The steady time from which nothing of ours can be on this machine any more. */
  deadAt(name: string): number {
    const machine = this.all.get(name);
    if (!machine) return this.options.fenceAt;
    const lease = this.options.leaseS * 1000 * (1 + CLOCK_DRIFT) + LEASE_MARGIN_MS;
    const answered = machine.answeredAt + lease;
    return machine.ours ? answered : Math.max(answered, this.options.fenceAt);
  }

  /** Forgets machines that are gone, or that nobody has spoken to for long. */
  sweep(): void {
    const now = this.clock.now();
    for (const machine of this.all.values()) {
      const kept = this.deadAt(machine.name) + this.options.leaseS * 1000;
      if (this.recordedState(machine.name) === 'gone' || now > kept) this.remove(machine);
    }
  }

  /** A machine type of the catalogue. */
  type(name: string): MachineType | undefined {
    const value = readCatalog(this.replica) ?? NO_TYPES;
    if (this.catalog?.value !== value) {
      this.catalog = { value, byName: new Map(value.map((type) => [type.name, type])) };
    }
    return this.catalog.byName.get(name);
  }

  /** The room on an empty machine of a type; none for a type that is not known. */
  capacity(typeName: string): Room {
    const type = this.type(typeName);
    return { cpus: type?.cpus ?? 0, gpus: type?.gpus ?? 0, memoryGb: type?.memoryGb ?? 0 };
  }
}
