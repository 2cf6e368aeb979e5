import {
  CATALOG_PERIOD_MS,
  CLOUD_BACKOFF_FIRST_MS,
  CLOUD_BACKOFF_LAST_MS,
  CLOUD_SHARE,
  COMING_SHARE,
  ESTIMATE_MARGIN,
  GONE_KEEP_MS,
  IDLE_KEEP_MOST,
  LATE_BOOTS,
  NO_CAPACITY_PAUSE_MS,
  PREEMPTIBLE_SHARE,
  RENT_MAX,
  RETURN_MAX,
  RUNNING_LEFT_S,
  SILENT_RETURN_MAX,
  SILENT_RETURN_PERIOD_MS,
  SILENT_RETURN_SHARE,
  SILENT_SETTLE_MS,
  STUCK_BOOTS,
  STUCK_LEAST_MS,
  TXN_BYTES,
} from '../constants.js';
import { readCatalog, writeCatalog } from '../storage/catalog.js';
import { CATALOG, MACHINES, machineKey } from '../storage/keys.js';
import type { Log } from '../storage/log.js';
import type { MachineRecord, MachineState } from '../storage/records.js';
import { InvalidChangeBackoff } from '../storage/invalid-change-backoff.js';
import type { StoreReplica } from '../storage/store-replica.js';
import type { CloudApi } from '../protocol/cloud-api.js';
import type { Change, Guard } from '../protocol/state-api.js';
import { rankOf, type JobSpec, type ListedMachine, type MachineType } from '../protocol/model.js';
import { Backoff } from '../transport/backoff.js';
import { Budget } from '../transport/budget.js';
import type { Clock } from '../transport/clock.js';
import { missingGangCapacity } from './gangs.js';
import {
  fitCount,
  isEligible,
  type FleetSnapshot,
  type MachineCapacity,
  type UnmetDemand,
} from './capacity.js';
import type { GuardedWriter } from './guarded-writer.js';

export interface FleetOptions {
  term: number;
  writer: GuardedWriter;
  txnOps: number;
  valueBytes: number;
  cloudRps: number;
  listLagS: number;
  leaseS: number;
  idleMs: number;
  headroomCpus: number;
  spot: boolean;
  maxMachines: number;
}

interface Room {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

interface Offer {
  type: MachineType;
  zone: string;
  spot: boolean;
  price: number;
}

/** The leader's hand on the cloud: which machines to rent, to take out of use and to return. */
export class Fleet {
  private readonly budget: Budget;
  private readonly backoff: Backoff;
  private pausedUntil = -Infinity;
  private readonly noCapacity = new Map<string, number>();
  private readonly idleSince = new Map<string, number>();
  private readonly silent = new Set<string>();
  private readonly silentSince = new Map<string, number>();
  /** Machines lately returned for silence, and when. */
  private readonly silentReturns = new Map<string, number>();
  private readonly failed = new Set<string>();
  private requests = 0;
  private busy = false;
  private listedAt = -Infinity;
  /** What was read of a list so far. */
  private listing: ListedMachine[] | null = null;
  private catalogAt = -Infinity;
  /** Machines, and keys, whose changes the state service called invalid. */
  private readonly invalidBackoff: InvalidChangeBackoff;

  constructor(
    private readonly options: FleetOptions,
    private readonly replica: StoreReplica,
    private readonly cloud: CloudApi,
    private readonly clock: Clock,
    private readonly log: Log,
    random: () => number,
  ) {
    this.backoff = new Backoff(CLOUD_BACKOFF_FIRST_MS, CLOUD_BACKOFF_LAST_MS, random);
    this.invalidBackoff = new InvalidChangeBackoff(clock);
    const rate = options.cloudRps * CLOUD_SHARE;
    this.budget = new Budget(clock, rate, Math.max(1, rate));
  }

  async round(snapshot: FleetSnapshot): Promise<void> {
    if (this.busy || this.clock.now() < this.pausedUntil) return;
    this.busy = true;
    this.invalidBackoff.sweep();
    try {
      await this.refreshCatalog();
      if (!this.replica.get(CATALOG)) return;
      await this.returnMachines(snapshot);
      await this.rent(snapshot);
      await this.list();
      this.backoff.reset();
    } catch (error) {
      this.pausedUntil = this.clock.now() + this.backoff.next();
      this.log.info({ error: String(error) }, 'cloud did not answer');
    } finally {
      this.busy = false;
    }
  }

  private types(): MachineType[] {
    return readCatalog(this.replica) ?? [];
  }

  private mayCall(): boolean {
    if (this.budget.waitFor(1) > 0) return false;
    this.budget.spend(1);
    return true;
  }

  private async refreshCatalog(): Promise<void> {
    const now = this.clock.now();
    if (now - this.catalogAt < CATALOG_PERIOD_MS || !this.mayCall()) return;
    const types = await this.cloud.types();
    if (!types) return;
    this.catalogAt = now;
    if (this.invalidBackoff.has(CATALOG)) return;
    const changes = writeCatalog(this.replica, types, this.options.valueBytes);
    const perTxn = Math.min(
      this.options.txnOps,
      Math.max(1, Math.floor(TXN_BYTES / this.options.valueBytes)),
    );
    for (let at = 0; at < changes.length; at += perTxn) {
      const group = changes.slice(at, at + perTxn);
      const guards = group.map(({ key }) => ({ key, revision: this.replica.revisionOf(key) }));
      const result = await this.options.writer.commit('leader', guards, group);
      if (result.kind === 'invalid') this.invalidBackoff.add(CATALOG);
      else this.invalidBackoff.clear(CATALOG);
      if (result.kind !== 'done') return;
    }
  }

  /** Records this state for machines; false: not written. */
  private async recordState(
    machines: { name: string; type: string; zone: string; spot: boolean }[],
    state: MachineState,
  ): Promise<boolean> {
    const due = machines.filter((one) => !this.invalidBackoff.has(one.name));
    const names = due.map((one) => one.name);
    for (let at = 0; at < due.length;) {
      const group = due.slice(
        at,
        at + this.invalidBackoff.together(names.slice(at), this.options.txnOps),
      );
      at += group.length;
      const guards: Guard[] = [];
      const changes: Change[] = [];
      for (const { name, type, zone, spot } of group) {
        const key = machineKey(name);
        const value: MachineRecord = { state, type, zone, spot, at: this.clock.wall() };
        guards.push({ key, revision: this.replica.revisionOf(key) });
        changes.push({ key, value });
      }
      const result = await this.options.writer.commit('leader', guards, changes);
      for (const { name } of group) {
        if (result.kind === 'invalid') this.invalidBackoff.add(name);
        else this.invalidBackoff.clear(name);
      }
      if (result.kind !== 'done') return false;
    }
    return due.length === machines.length;
  }

  // --- Returning -----------------------------------------------------------------------------

  private async returnMachines(snapshot: FleetSnapshot): Promise<void> {
    await this.drainIdle(snapshot);
    this.findSilent(snapshot);
    const leave = this.toReturn(snapshot).slice(0, RETURN_MAX);
    if (leave.length === 0 || !this.mayCall()) return;
    const names = leave.map(([name]) => name);
    if (!(await this.cloud.giveBack(names))) return;
    this.log.info({ machines: names }, 'machines returned');
    await this.recordState(
      leave.map(([name, record]) => ({ name, ...record })),
      'gone',
    );
    for (const name of names) this.failed.delete(name);
  }

  /** Machines that nothing keeps from being returned now. */
  private toReturn(snapshot: FleetSnapshot): [string, MachineRecord][] {
    const types = new Map(this.types().map((type) => [type.name, type]));
    const wall = this.clock.wall();
    const busy = new Set<string>();
    for (const chunk of this.replica.chunks()) {
      for (const name of chunk.on) busy.add(name);
    }
    const bootingNames = new Set(
      snapshot.machines.filter((one) => one.health === 'booting').map((one) => one.name),
    );
    const found: [string, MachineRecord][] = [];
    for (const [key, held] of this.replica.below<MachineRecord>(MACHINES)) {
      const name = key.slice(MACHINES.length);
      const record = held.value;
      if (record.state === 'gone' || this.invalidBackoff.has(name)) continue;
      const boot = (types.get(record.type)?.bootS ?? 60) * 1000;
      const patience = Math.max(boot * STUCK_BOOTS, boot + STUCK_LEAST_MS);
      const stuck = bootingNames.has(name) && wall - record.at > patience;
      // Placements commit only before the drain record, so a replica that holds it shows them all.
      const settled = this.replica.revision >= held.revision;
      const drained = record.state === 'drain' && settled && !busy.has(name);
      if (drained || stuck || this.failed.has(name) || this.silent.has(name)) {
        found.push([name, record]);
      }
    }
    return found;
  }

  /**
   * Machines that fell silent are returned, which proves their tasks gone sooner than their lease
   * does. A few at a time only: many at once are a cut between them and their part. Of those, what
   * stays silent for a lease has lost its tasks in any case, and some of them go too.
   */
  private findSilent(snapshot: FleetSnapshot): void {
    const now = this.clock.now();
    this.silent.clear();
    const names = new Set(
      snapshot.machines.filter((one) => one.health === 'silent').map((one) => one.name),
    );
    for (const name of this.silentSince.keys()) if (!names.has(name)) this.silentSince.delete(name);
    for (const name of names) {
      if (!this.silentSince.has(name)) this.silentSince.set(name, now);
    }
    for (const [name, at] of this.silentReturns) {
      if (now - at >= SILENT_RETURN_PERIOD_MS) this.silentReturns.delete(name);
    }
    const few = new Set([...names, ...this.silentReturns.keys()]).size <= SILENT_RETURN_MAX;
    const most = Math.max(
      SILENT_RETURN_MAX,
      Math.floor(snapshot.machines.length * SILENT_RETURN_SHARE),
    );
    for (const [name, since] of this.silentSince) {
      // Parts tell of their machines one after the other: a cut shows only when all have.
      const wait = few ? SILENT_SETTLE_MS : this.options.leaseS * 1000;
      if (now - since < wait) continue;
      if (!this.silentReturns.has(name)) {
        if (this.silentReturns.size >= most) continue;
        this.silentReturns.set(name, now);
      }
      this.silent.add(name);
    }
  }

  /** Takes out of use what is idle and not needed, faulty, or about to be taken. */
  private async drainIdle(snapshot: FleetSnapshot): Promise<void> {
    const now = this.clock.now();
    const present = new Set(snapshot.machines.map((one) => one.name));
    for (const name of this.idleSince.keys()) {
      if (!present.has(name)) this.idleSince.delete(name);
    }
    let headroom = 0;
    for (const one of snapshot.machines) {
      if (one.health === 'ok' && !one.spot) headroom += Math.max(0, one.cpus);
    }
    const forGangs = snapshot.gangs.reduce((sum, one) => sum + one.tasks * one.cpus, 0);
    const kept = Math.max(this.options.headroomCpus, forGangs);
    const drain: MachineCapacity[] = [];
    let spare = -this.neededCpus(snapshot);
    for (const one of snapshot.machines) {
      if (one.health === 'ok') spare += Math.max(0, one.cpus) + one.lowCpus;
    }
    const idle: MachineCapacity[] = [];
    let dearest = 0;
    for (const machine of snapshot.machines) {
      dearest = Math.max(dearest, this.cpuPrice(machine));
      if (machine.health === 'faulty') drain.push(machine);
      if (machine.health === 'ok' && machine.tasks === 0) idle.push(machine);
      else this.idleSince.delete(machine.name);
    }
    // The dearest room goes first.
    idle.sort((a, b) => this.cpuPrice(b) - this.cpuPrice(a));
    for (const machine of idle) {
      const since = this.idleSince.get(machine.name) ?? now;
      this.idleSince.set(machine.name, since);
      // Cheap room is kept longer: what would be rented in its place is dearer.
      const keep = Math.min(IDLE_KEEP_MOST, dearest / Math.max(1e-9, this.cpuPrice(machine)));
      if (now - since < this.options.idleMs * keep) continue;
      const loss = machine.spot ? 0 : Math.max(0, machine.cpus);
      if (headroom - loss < kept && loss > 0) continue;
      if (spare < machine.cpus) continue;
      spare -= machine.cpus;
      headroom -= loss;
      drain.push(machine);
    }
    const due = drain.filter((one) => !this.invalidBackoff.has(one.name));
    if (due.length === 0) return;
    if (await this.recordState(due, 'drain')) {
      this.log.info({ machines: due.map((one) => one.name) }, 'machines taken out of use');
    }
  }

  private cpuPrice(machine: MachineCapacity): number {
    const type = this.types().find((one) => one.name === machine.type);
    return type ? (machine.spot ? type.spotPrice : type.price) / type.cpus : 0;
  }

  // --- Renting -------------------------------------------------------------------------------

  private async rent(snapshot: FleetSnapshot): Promise<void> {
    const wants = this.wanted(snapshot);
    for (const { offer, count } of wants) {
      if (!this.mayCall()) return;
      const request = `r-${this.options.term}-${++this.requests}`;
      const { type, zone, spot } = offer;
      const result = await this.cloud.rent({
        request,
        type: type.name,
        zone,
        spot,
        count: Math.min(count, RENT_MAX),
      });
      const got = result.kind === 'rented' ? result.machines.length : 0;
      this.log.info({ type: type.name, zone, spot, count, got, result: result.kind }, 'renting');
      if (result.kind === 'noCapacity' || (result.kind === 'rented' && got < count)) {
        this.noCapacity.set(this.offerKey(offer), this.clock.now() + NO_CAPACITY_PAUSE_MS);
      }
      if (result.kind === 'rented') {
        await this.recordState(
          result.machines.map((name) => ({ name, type: type.name, zone, spot })),
          'rented',
        );
      }
    }
  }

  private offerKey(offer: Offer): string {
    return `${offer.type.name}/${offer.zone}/${offer.spot}`;
  }

  private offers(): Offer[] {
    const now = this.clock.now();
    const offers: Offer[] = [];
    for (const type of this.types()) {
      for (const zone of type.zones) {
        offers.push({ type, zone, spot: false, price: type.price });
        if (this.options.spot) offers.push({ type, zone, spot: true, price: type.spotPrice });
      }
    }
    return offers.filter((offer) => (this.noCapacity.get(this.offerKey(offer)) ?? 0) <= now);
  }

  /** What to rent: the cheapest offer for each kind of task that will not fit what is coming. */
  private wanted(snapshot: FleetSnapshot): { offer: Offer; count: number }[] {
    const booting = snapshot.machines
      .filter((one) => one.health === 'booting')
      .map((one) => ({ ...one }));
    const offers = this.offers();
    const wants = new Map<string, { offer: Offer; count: number; rooms: Room[] }>();
    let size = snapshot.machines.length;
    const add = ({ spec, count }: { spec: JobSpec; count: number }): void => {
      let left = count;
      const fill = (rooms: Room[]): void => {
        for (const room of rooms) {
          const some = Math.min(left, fitCount(room, spec));
          room.cpus -= some * spec.cpus;
          room.gpus -= some * spec.gpus;
          room.memoryGb -= some * spec.memoryGb;
          left -= some;
          if (left === 0) return;
        }
      };
      fill(booting.filter((one) => isEligible(spec, one)));
      for (const want of wants.values()) {
        if (isEligible(spec, { ...want.offer, type: want.offer.type.name })) fill(want.rooms);
      }
      while (left > 0 && size < this.options.maxMachines) {
        const best = this.cheapest(offers, spec, left);
        if (!best) break;
        const key = this.offerKey(best);
        const want = wants.get(key) ?? { offer: best, count: 0, rooms: [] };
        wants.set(key, want);
        if (want.count >= RENT_MAX) break;
        want.count++;
        size++;
        const room = {
          cpus: best.type.cpus,
          gpus: best.type.gpus,
          memoryGb: best.type.memoryGb,
        };
        want.rooms.push(room);
        fill([room]);
      }
    };
    for (const one of this.beyondFleet(snapshot, booting)) add(one);
    // What waits takes its room first; gangs like the last ones should find some beside it.
    const there = snapshot.machines.filter((one) => one.health === 'ok');
    for (const one of missingGangCapacity(snapshot.gangs, [...there, ...booting])) add(one);
    this.addHeadroom(snapshot, booting, offers, wants);
    return [...wants.values()].map(({ offer, count }) => ({ offer, count }));
  }

  /**
   * Of the tasks that found no room, those for which the fleet will not find it in time: a machine
   * takes as long to boot as many a task runs, so what the present machines can finish by its
   * deadline waits for them. Jobs without a deadline count as due at once.
   */
  private beyondFleet(
    snapshot: FleetSnapshot,
    booting: MachineCapacity[],
  ): { spec: JobSpec; count: number }[] {
    const wall = this.clock.wall();
    const due = (one: UnmetDemand): number =>
      one.spec.deadlineS === null ? -Infinity : one.at + one.spec.deadlineS * 1000;
    const order = [...snapshot.unmet].sort(
      (a, b) => rankOf(b.spec.priority) - rankOf(a.spec.priority) || due(a) - due(b),
    );
    let cpus = 0;
    for (const one of snapshot.machines) {
      if (one.health === 'ok') cpus += Math.max(0, one.cpus) + one.lowCpus;
    }
    for (const one of booting) cpus += one.cpus;
    const wanted: { spec: JobSpec; count: number }[] = [];
    // CPU seconds ahead of a job: what runs is half done on average.
    let ahead = 0;
    for (const one of snapshot.machines) ahead += one.lowCpus * RUNNING_LEFT_S;
    for (const one of order) {
      const { spec, count } = one;
      if (spec.kind === 'service' || spec.deadlineS === null || spec.cpus <= 0) {
        wanted.push({ spec, count });
        continue;
      }
      const runS = Math.max(1, spec.estimateS) * ESTIMATE_MARGIN;
      // What would be late even on a machine rented now is no reason to rent at any price: it is to
      // be done within a few boots from now.
      const inTimeS = (due(one) - wall) / 1000 - runS;
      const slackS = Math.max(inTimeS, this.quickestBootS() * LATE_BOOTS);
      const work = count * spec.cpus * runS;
      const inTime = Math.max(0, cpus * slackS - ahead);
      const beyond = Math.min(count, Math.ceil((work - inTime) / (spec.cpus * runS)));
      ahead += work;
      if (beyond <= 0) continue;
      // Each new slot runs several tasks in a row where the deadline leaves time for it.
      const rounds = Math.max(1, Math.floor((slackS - this.quickestBootS()) / runS) + 1);
      wanted.push({ spec, count: Math.ceil(beyond / rounds) });
    }
    const { coming } = snapshot;
    if (coming) {
      const inHand = wanted.reduce((sum, one) => sum + one.count * one.spec.cpus, cpus);
      const missing = this.neededCpus(snapshot) - inHand;
      if (missing > 0) wanted.push({ spec: coming, count: Math.ceil(missing / coming.cpus) });
    }
    return wanted;
  }

  /**
   * CPUs that lower work needs from now until machines rented now have been up for a while: what
   * runs, what waits, and as much as came lately, since a boot takes longer than many a deadline.
   */
  private neededCpus(snapshot: FleetSnapshot): number {
    let work = 0;
    for (const one of snapshot.machines) work += one.lowCpus * RUNNING_LEFT_S;
    for (const { spec, count } of snapshot.unmet) {
      if (spec.kind !== 'service') work += count * spec.cpus * Math.max(1, spec.estimateS);
    }
    return work / (this.quickestBootS() * LATE_BOOTS) + snapshot.comingCpus * COMING_SHARE;
  }

  private quickestBootS(): number {
    const types = this.types();
    return types.reduce((least, type) => Math.min(least, type.bootS), Infinity);
  }

  /** Free room on ordinary machines, kept so that urgent work need not wait for a boot. */
  private addHeadroom(
    snapshot: FleetSnapshot,
    booting: MachineCapacity[],
    offers: Offer[],
    wants: Map<string, { offer: Offer; count: number; rooms: Room[] }>,
  ): void {
    let free = 0;
    for (const one of [...snapshot.machines.filter((each) => each.health === 'ok'), ...booting]) {
      // What urgent work may take from lower work counts too, though it costs work done.
      if (!one.spot) free += Math.max(0, one.cpus) + one.lowCpus * PREEMPTIBLE_SHARE;
    }
    for (const want of wants.values()) {
      if (!want.offer.spot) for (const room of want.rooms) free += Math.max(0, room.cpus);
    }
    const missing = this.options.headroomCpus - free;
    if (missing <= 0) return;
    const offer = offers
      .filter((one) => !one.spot)
      .sort((a, b) => a.price / a.type.cpus - b.price / b.type.cpus)[0];
    if (!offer) return;
    const key = this.offerKey(offer);
    const want = wants.get(key) ?? { offer, count: 0, rooms: [] };
    want.count = Math.min(RENT_MAX, want.count + Math.ceil(missing / offer.type.cpus));
    wants.set(key, want);
  }

  /** By price for each task that it would really hold. */
  private cheapest(
    offers: Offer[],
    spec: Parameters<typeof isEligible>[0],
    left: number,
  ): Offer | null {
    let best: Offer | null = null;
    let bestPrice = Infinity;
    for (const offer of offers) {
      if (!isEligible(spec, { type: offer.type.name, zone: offer.zone, spot: offer.spot }))
        continue;
      const holds = Math.min(left, fitCount(offer.type, spec));
      if (holds === 0) continue;
      const price = offer.price / holds;
      if (price < bestPrice) {
        best = offer;
        bestPrice = price;
      }
    }
    return best;
  }

  // --- The machine list ----------------------------------------------------------------------

  /**
   * Reads the whole list now and then: machines nobody here knows, and machines that failed. A page
   * a round where the cloud's limit allows no more: a list of several pages would else never end.
   */
  private async list(): Promise<void> {
    const now = this.clock.now();
    if (!this.listing) {
      if (now - this.listedAt < Math.max(5, this.options.listLagS) * 1000) return;
      this.listedAt = now;
      this.listing = [];
    }
    const listed = this.listing;
    for (;;) {
      if (!this.mayCall()) return;
      const page = await this.cloud.list(listed.at(-1)?.name ?? '');
      if (!page) {
        this.listing = null;
        return;
      }
      listed.push(...page.machines);
      if (!page.more || page.machines.length === 0) break;
    }
    this.listing = null;
    const unknown = listed.filter((one) => !this.replica.get(machineKey(one.name)));
    if (unknown.length > 0) {
      this.log.info({ machines: unknown.map((one) => one.name) }, 'machines adopted from the list');
      await this.recordState(unknown, 'rented');
    }
    for (const one of listed) {
      const record = this.replica.machine(one.name);
      if (one.state === 'failed' && record && record.state !== 'gone') this.failed.add(one.name);
    }
    await this.forgetGone(new Set(listed.map((one) => one.name)));
  }

  /** Records of machines long gone go, once no late list can bring them back. */
  private async forgetGone(listed: Set<string>): Promise<void> {
    const wall = this.clock.wall();
    const changes: Change[] = [];
    const guards: Guard[] = [];
    for (const [key, held] of this.replica.below<MachineRecord>(MACHINES)) {
      if (held.value.state !== 'gone' || listed.has(key.slice(MACHINES.length))) continue;
      if (wall - held.value.at < GONE_KEEP_MS || changes.length >= this.options.txnOps) continue;
      guards.push({ key, revision: held.revision });
      changes.push({ key, remove: true });
    }
    if (changes.length === 0 || this.invalidBackoff.has(MACHINES)) return;
    const result = await this.options.writer.commit('leader', guards, changes);
    if (result.kind === 'invalid') this.invalidBackoff.add(MACHINES);
    else this.invalidBackoff.clear(MACHINES);
  }
}
