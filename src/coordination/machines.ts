import {
  CLOCK_DRIFT,
  FAULTY_ERRORS,
  LEASE_MARGIN_MS,
  SILENT_REPORTS,
  TOKEN_STEP,
} from '../constants.js';
import { readCatalog } from '../storage/catalog.js';
import type { MachineHealth, MachineRecord } from '../storage/records.js';
import type { StoreReplica } from '../storage/store-replica.js';
import type { MachineType, TaskReport, WorkerReport } from '../protocol/model.js';
import type { Clock } from '../transport/clock.js';

/** Commands sent straight to a worker whose end is not known yet. */
export interface Direct {
  session: number;
  attempts: Set<number>;
  /** No answer came: a report with this token, or of a later session, shows that they are fenced. */
  fence: number | null;
}

export interface Machine {
  name: string;
  address: string;
  /** Added to the part's token: raised to fence commands, and to ask whether it hears us. */
  bump: number;
  /** Tokens below this one were given out before this entry was made. */
  firstBump: number;
  /** Only a report that shows at least this one proves that it hears us. */
  proofBump: number;
  /** A start was sent straight to it under the present token: a repeat of it would be carried out. */
  exposed: boolean;
  direct: Direct | null;
  type: string;
  zone: string;
  spot: boolean;
  session: number;
  seq: number;
  /** Steady time of the newest report. */
  observedAt: number;
  /** The newest report shows our latest token, so an answer got through since the last doubt. */
  proven: boolean;
  /** Steady time of the last report that did. */
  provenAt: number;
  /** Steady time of the last newer report that came by itself, not in answer to a call. */
  reportedAt: number;
  /** Steady time of our first answer since then, and how many there were. */
  askedAt: number;
  asked: number;
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

const NO_TYPES: MachineType[] = [];

export interface Room {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

export function fits(room: Room, need: Room): boolean {
  const slack = 1e-9;
  return (
    room.cpus + slack >= need.cpus &&
    room.gpus + slack >= need.gpus &&
    room.memoryGb + slack >= need.memoryGb
  );
}

export function take(room: Room, need: Room, times = 1): void {
  room.cpus -= need.cpus * times;
  room.gpus -= need.gpus * times;
  room.memoryGb -= need.memoryGb * times;
}

export interface MachinesOptions {
  term: number;
  fenceAt: number;
  leaseS: number;
  reportS: number;
}

/** What a report is worth: nothing, news, or news that also ends the session before it. */
export type Worth = 'older' | 'newer' | 'newSession';

/**
 * A part's machines, and what their reports and answers prove. A report shows what was on the
 * machine when it was sent. That the machine hears us it shows only by our latest token, which is
 * raised whenever there is doubt; until then nothing new goes there.
 */
export class Machines {
  readonly all = new Map<string, Machine>();
  readonly baseToken: number;
  private sorted: Machine[] | null = null;
  private highestBump = 0;
  private catalog: { value: MachineType[]; byName: Map<string, MachineType> } | null = null;

  constructor(
    private readonly options: MachinesOptions,
    private readonly replica: StoreReplica,
    private readonly clock: Clock,
  ) {
    this.baseToken = options.term * TOKEN_STEP;
  }

  add(name: string, type: string, zone: string, spot: boolean): Machine {
    const now = this.clock.now();
    const machine: Machine = {
      name,
      address: '',
      bump: this.highestBump,
      firstBump: this.highestBump,
      proofBump: this.highestBump,
      exposed: false,
      direct: null,
      type,
      zone,
      spot,
      session: 0,
      seq: 0,
      observedAt: now,
      proven: false,
      provenAt: now,
      reportedAt: now,
      askedAt: now,
      asked: 0,
      answeredAt: now,
      ours: false,
      leaving: false,
      closing: false,
      tasks: [],
      images: new Set(),
      errors: new Set(),
    };
    this.all.set(name, machine);
    this.sorted = null;
    return machine;
  }

  /** Copies of its reports may still come: an entry made anew must not take them for proof. */
  remove(machine: Machine): void {
    this.all.delete(machine.name);
    this.sorted = null;
    this.highestBump = Math.max(this.highestBump, machine.bump + 1);
  }

  /** The part's fixed order: ordinary machines first, by name. */
  inOrder(): readonly Machine[] {
    this.sorted ??= [...this.all.values()].sort(
      (a, b) => Number(a.spot) - Number(b.spot) || (a.name < b.name ? -1 : 1),
    );
    return this.sorted;
  }

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
    const now = this.clock.now();
    const order = report.session - machine.session || report.seq - machine.seq;
    const shows = report.token >= this.baseToken + machine.proofBump;
    // A machine that is back at once may count anew. Its reports then look like late copies, but a
    // copy can't show a token that was first given out after everything known, nor answer a call.
    const counts =
      (shows && !machine.proven) || (askedAt !== null && machine.observedAt <= askedAt);
    if (order <= 0 && !counts) {
      if (machine.proven && now - machine.observedAt > 2 * this.options.reportS * 1000) {
        this.doubt(machine);
      }
      return 'older';
    }
    const ended = machine.session > 0 && report.session > machine.session;
    machine.session = report.session;
    machine.seq = report.seq;
    machine.observedAt = now;
    if (askedAt === null) machine.reportedAt = now;
    machine.ours = report.token >= this.baseToken + machine.firstBump;
    if (machine.ours) machine.bump = Math.max(machine.bump, report.token - this.baseToken);
    machine.proven = shows;
    if (machine.proven) {
      machine.provenAt = now;
      machine.asked = 0;
    }
    const { direct } = machine;
    if (
      direct &&
      (report.session > direct.session || (direct.fence !== null && report.token >= direct.fence))
    ) {
      machine.direct = null;
    }
    // Its lease ran out although we answered: perhaps it does not hear us.
    if (ended) this.doubt(machine);
    return ended ? 'newSession' : 'newer';
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

  type(name: string): MachineType | undefined {
    const value = readCatalog(this.replica) ?? NO_TYPES;
    if (this.catalog?.value !== value) {
      this.catalog = { value, byName: new Map(value.map((type) => [type.name, type])) };
    }
    return this.catalog.byName.get(name);
  }

  capacity(typeName: string): Room {
    const type = this.type(typeName);
    return { cpus: type?.cpus ?? 0, gpus: type?.gpus ?? 0, memoryGb: type?.memoryGb ?? 0 };
  }
}
