/** The machines of a part, and what is known of them. */

import { FENCING_TOKENS_PER_TERM, LEASE_MARGIN_MS } from '../../constants/election.js';
import { CLOCK_DRIFT } from '../../constants/protocol.js';
import { FAULTY_MACHINE_FAILURES, MAX_MISSED_HEARTBEATS } from '../../constants/shard.js';
import { readCatalog } from '../../storage/catalog.js';
import type { MachineHealth, MachineRecord } from '../../storage/records.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import type { MachineType, Heartbeat } from '../../protocol/model.js';
import type { Clock } from '../../transport/clock.js';
import { createMachine, type Machine } from './machine.js';
import type { Resources } from '../capacity/resources.js';
import { isRunningOut } from '../election/term-numbers.js';

const NO_TYPES: MachineType[] = [];

/** What the machines need to know of their part. */
export interface MachinesOptions {
  term: number;
  fenceAt: number;
  leaseS: number;
  heartbeatIntervalS: number;
}

/** What a report is worth: nothing, news, or news that also ends the session before it. */
export type HeartbeatFreshness = 'older' | 'newer' | 'newSession';

/** Commands sent straight to the worker have ended with their session, or are fenced by a token. */
function confirmDirectCalls(machine: Machine, heartbeat: Heartbeat): void {
  const { directCalls: direct } = machine;
  if (!direct) return;
  const fenced = direct.fencedBy !== null && heartbeat.fencingToken >= direct.fencedBy;
  if (heartbeat.agentEpoch > direct.agentEpoch || fenced) machine.directCalls = null;
}

/**
 * A part's machines, and what their reports and answers prove. A report shows what was on the
 * machine when it was sent. That the machine hears us it shows only by our latest token, which is
 * raised whenever there is doubt; until then nothing new goes there.
 */
export class Machines {
  readonly all = new Map<string, Machine>();
  readonly baseFencingToken: number;
  private sorted: Machine[] | null = null;
  /** New entries begin at this one. */
  private nextInitialOffset = 0;
  /** The highest that any machine was given in this term. */
  private highestFencingOffset = 0;
  private catalog: { value: MachineType[]; byName: Map<string, MachineType> } | null = null;

  constructor(
    private readonly options: MachinesOptions,
    private readonly replica: StoreReplica,
    private readonly clock: Clock,
  ) {
    this.baseFencingToken = options.term * FENCING_TOKENS_PER_TERM;
  }

  /** Begins to keep a machine; it counts as answered now. */
  add(name: string, type: string, zone: string, spot: boolean): Machine {
    const now = this.clock.now();
    const machine = createMachine({ name, type, zone, spot }, this.nextInitialOffset, now);
    this.all.set(name, machine);
    this.sorted = null;
    return machine;
  }

  /** Copies of its reports may still come: an entry made anew must not take them for proof. */
  remove(machine: Machine): void {
    this.all.delete(machine.name);
    this.sorted = null;
    this.nextInitialOffset = Math.max(this.nextInitialOffset, machine.fencingOffset + 1);
    this.highestFencingOffset = Math.max(this.highestFencingOffset, this.nextInitialOffset);
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
    return isRunningOut(this.highestFencingOffset, FENCING_TOKENS_PER_TERM);
  }

  /** The token that our commands to a machine carry. */
  fencingTokenOf(machine: Machine): number {
    return this.baseFencingToken + machine.fencingOffset;
  }

  /**
   * Makes all that was sent straight to it powerless as soon as the raised token reaches it. Old
   * tokens still prove that it hears us: nothing has gone amiss.
   */
  raiseFencingToken(machine: Machine): void {
    machine.fencingOffset++;
    machine.hasUnfencedStart = false;
    this.highestFencingOffset = Math.max(this.highestFencingOffset, machine.fencingOffset);
  }

  /** From now on only a report that shows a token not given out yet proves that it hears us. */
  requireAcknowledgement(machine: Machine): void {
    this.raiseFencingToken(machine);
    machine.requiredFencingOffset = machine.fencingOffset;
    if (machine.isAcknowledged) machine.unacknowledgedAnswers = 0;
    machine.isAcknowledged = false;
  }

  /**
   * Orders a report among what is known of its machine. `askedAt`: steady time at which we sent
   * the call that this report answers, null for a report that came by itself.
   */
  applyHeartbeat(
    machine: Machine,
    heartbeat: Heartbeat,
    askedAt: number | null,
  ): HeartbeatFreshness {
    const order =
      heartbeat.agentEpoch - machine.agentEpoch || heartbeat.sequence - machine.sequence;
    const shows = heartbeat.fencingToken >= this.baseFencingToken + machine.requiredFencingOffset;
    // A machine that is back at once may count anew. Its reports then look like late copies, but a
    // copy can't show a token that was first given out after everything known, nor answer a call.
    const counts =
      (shows && !machine.isAcknowledged) || (askedAt !== null && machine.observedAt <= askedAt);
    if (order <= 0 && !counts) {
      this.requireAcknowledgementIfSilent(machine);
      return 'older';
    }
    const ended = machine.agentEpoch > 0 && heartbeat.agentEpoch > machine.agentEpoch;
    this.adopt(machine, heartbeat, shows);
    if (askedAt === null) machine.heartbeatAt = machine.observedAt;
    confirmDirectCalls(machine, heartbeat);
    // Its lease ran out although we answered: perhaps it does not hear us.
    if (ended) this.requireAcknowledgement(machine);
    return ended ? 'newSession' : 'newer';
  }

  /** Only late copies come of its reports: perhaps it counts anew. */
  private requireAcknowledgementIfSilent(machine: Machine): void {
    const silentMs = this.clock.now() - machine.observedAt;
    if (machine.isAcknowledged && silentMs > 2 * this.options.heartbeatIntervalS * 1000)
      this.requireAcknowledgement(machine);
  }

  /** `shows`: the report shows a token that proves that the machine hears us. */
  private adopt(machine: Machine, heartbeat: Heartbeat, shows: boolean): void {
    const now = this.clock.now();
    machine.agentEpoch = heartbeat.agentEpoch;
    machine.sequence = heartbeat.sequence;
    machine.observedAt = now;
    machine.hasShownOurToken =
      heartbeat.fencingToken >= this.baseFencingToken + machine.initialFencingOffset;
    if (machine.hasShownOurToken)
      machine.fencingOffset = Math.max(
        machine.fencingOffset,
        heartbeat.fencingToken - this.baseFencingToken,
      );
    machine.isAcknowledged = shows;
    if (!shows) return;
    machine.acknowledgedAt = now;
    machine.unacknowledgedAnswers = 0;
  }

  /** Notes that a report is answered with 200, which may renew the worker's lease. */
  noteAnswer(machine: Machine, freshness: HeartbeatFreshness): void {
    const now = this.clock.now();
    // An older report was sent before the newest one came: its answer renews to that at the most.
    const until = freshness === 'older' ? machine.observedAt : now;
    machine.answeredAt = Math.max(machine.answeredAt, until);
    if (machine.isAcknowledged) return;
    if (machine.unacknowledgedAnswers++ === 0) machine.unacknowledgedSince = now;
  }

  /**
   * False for a machine that reports for a lease and never shows that an answer got through. It is
   * no longer answered, so that time proves the end of its tasks.
   */
  mayAnswer(machine: Machine): boolean {
    const { leaseS, heartbeatIntervalS } = this.options;
    if (
      machine.isAcknowledged ||
      machine.unacknowledgedAnswers <= Math.ceil(leaseS / heartbeatIntervalS)
    )
      return true;
    return this.clock.now() - machine.unacknowledgedSince < leaseS * 1000;
  }

  /** The state that the leader recorded for a machine; without a record it may be used. */
  recordedState(name: string): MachineRecord['state'] {
    return this.replica.machine(name)?.state ?? 'rented';
  }

  /** Whether tasks may be started on it. */
  isSchedulable(machine: Machine): boolean {
    return (
      machine.isAcknowledged && !machine.isLeaving && this.recordedState(machine.name) === 'rented'
    );
  }

  /** A machine's health as the other nodes are told. */
  health(machine: Machine): MachineHealth {
    if (machine.isLeaving) return 'leaving';
    if (machine.failedJobs.size >= FAULTY_MACHINE_FAILURES) return 'faulty';
    // Answers to calls renew no lease: a machine whose reports don't reach us loses its tasks, and
    // what is started there by calls as well.
    const silentMs = this.clock.now() - Math.min(machine.acknowledgedAt, machine.heartbeatAt);
    return silentMs > this.options.heartbeatIntervalS * 1000 * MAX_MISSED_HEARTBEATS
      ? 'silent'
      : 'ok';
  }

  /** The steady time from which nothing of ours can be on this machine any more. */
  leaseExpiresAt(name: string): number {
    const machine = this.all.get(name);
    if (!machine) return this.options.fenceAt;
    const lease = this.options.leaseS * 1000 * (1 + CLOCK_DRIFT) + LEASE_MARGIN_MS;
    const answered = machine.answeredAt + lease;
    return machine.hasShownOurToken ? answered : Math.max(answered, this.options.fenceAt);
  }

  /** Forgets machines that are gone, or that nobody has spoken to for long. */
  sweep(): void {
    const now = this.clock.now();
    for (const machine of this.all.values()) {
      const kept = this.leaseExpiresAt(machine.name) + this.options.leaseS * 1000;
      if (this.recordedState(machine.name) === 'gone' || now > kept) this.remove(machine);
    }
  }

  /** A machine type of the catalogue. */
  machineType(name: string): MachineType | undefined {
    const value = readCatalog(this.replica) ?? NO_TYPES;
    if (this.catalog?.value !== value) {
      this.catalog = { value, byName: new Map(value.map((type) => [type.name, type])) };
    }
    return this.catalog.byName.get(name);
  }

  /** The room on an empty machine of a type; none for a type that is not known. */
  capacity(typeName: string): Resources {
    const type = this.machineType(typeName);
    return { cpus: type?.cpus ?? 0, gpus: type?.gpus ?? 0, memoryGb: type?.memoryGb ?? 0 };
  }
}
