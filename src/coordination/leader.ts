import {
  ASSIGN_PACE_MS,
  BEGIN_SHARE,
  CHUNK_BASE_BYTES,
  CHUNK_TASK_BYTES,
  FETCH_SHARE,
  KEPT_FROM_MS,
  LATE_ROOM,
  RESERVE_SHARE,
  STARVED_MS,
  STARVED_SHARE,
  URGENT_RESERVE,
  VALUE_SHARE,
} from '../constants.js';
import { readCatalog } from '../storage/catalog.js';
import { JOBS, chunkKey, finalKey, jobKey } from '../storage/keys.js';
import type { Log } from '../storage/log.js';
import { InvalidChangeBackoff } from '../storage/invalid-change-backoff.js';
import { writeRanges } from '../storage/ranges.js';
import type { Supply } from '../storage/rate-limiter.js';
import type { ChunkRecord, FinalRecord, JobRecord } from '../storage/records.js';
import type { StoreReplica } from '../storage/store-replica.js';
import type { Change, Guard } from '../protocol/state-api.js';
import { rankOf, type JobSpec } from '../protocol/model.js';
import type { Team } from '../protocol/settings.js';
import type { Clock } from '../transport/clock.js';
import { reservedMachines } from './gang-capacity.js';
import { GangHistory } from './gang-history.js';
import { planGang, type GangPlan, type ImageHints } from './gang-plan.js';
import { GuaranteeClaims, type Claim } from './guarantee-claims.js';
import { Arrivals, Ledger, endsAt, type Usage } from './ledger.js';
import { Inventory } from './inventory.js';
import { schedulingOrder, type OpenJob } from './scheduling-order.js';
import { queueRoom, shortQueues, type Queue } from './queues.js';
import type { Member } from './rendezvous.js';
import {
  fitCount,
  reclaimModeFor,
  reclaimModesFor,
  isEligible,
  need,
  occupy,
  occupyReclaimable,
  reclaimableCapacity,
  type FleetSnapshot,
  type MachineCapacity,
  type UnmetDemand,
} from './capacity.js';
import type { GuardedWriter } from './guarded-writer.js';
import { URGENT, placeKey } from './priorities.js';

export interface LeaderOptions {
  term: number;
  writer: GuardedWriter;
  txnOps: number;
  valueBytes: number;
  teams: readonly Team[];
  members: readonly Member[];
  /** Seconds within which tasks of a class should start. */
  startWithinS: Readonly<Record<string, number>>;
  /** How scarce this node's writes to the state service are. */
  supply: () => Supply;
}

/**
 * The leader: orders the work, hands ranges of tasks to parts by free room, keeps team limits and
 * the zones of jobs, and ends jobs whose tasks are all done.
 */
export class Leader {
  private counter = 0;
  /** Jobs that came to wait for their team's limit: told once of each. */
  private limited = new Set<string>();
  /** When a job last got some of its tasks assigned, and how many found no room then. */
  private readonly assigned = new Map<string, { at: number; short: number }>();
  /** When something of a job ran or was handed out last, as far as this leader saw. */
  private readonly servedAt = new Map<string, number>();
  private readonly teams: ReadonlyMap<string, Team>;
  private readonly ledger: Ledger;
  private readonly arrivals: Arrivals;
  private readonly inventory: Inventory;
  private readonly gangs: GangHistory;
  private readonly claims: GuaranteeClaims;
  /** Jobs whose changes the state service called invalid. */
  private readonly invalidBackoff: InvalidChangeBackoff;
  private busy = false;
  /** ms that the last round took, its waiting for the state service aside. */
  costMs = 0;
  snapshot: FleetSnapshot = { machines: [], unmet: [], comingCpus: 0, coming: null, gangs: [] };

  constructor(
    private readonly options: LeaderOptions,
    private readonly replica: StoreReplica,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {
    this.teams = new Map(options.teams.map((team) => [team.name, team]));
    this.invalidBackoff = new InvalidChangeBackoff(clock);
    this.ledger = new Ledger(replica, clock);
    this.arrivals = new Arrivals(replica, clock);
    this.gangs = new GangHistory(options.term);
    this.claims = new GuaranteeClaims(this.teams, replica, clock);
    this.inventory = new Inventory(options.members, replica, this.ledger);
  }

  /** A key of the replica changed. */
  changed(key: string): void {
    this.ledger.changed(key);
    if (key.startsWith(JOBS)) this.arrivals.changed(key.slice(JOBS.length));
  }

  /** One round; returns the parts for which something urgent was written. */
  async round(): Promise<Set<string>> {
    if (this.busy) return new Set();
    this.busy = true;
    try {
      this.ledger.refresh();
      this.invalidBackoff.sweep();
      await this.finishJobs();
      return this.replica.whole ? await this.assign() : new Set();
    } finally {
      this.busy = false;
    }
  }

  // --- Ending jobs ---------------------------------------------------------------------------

  private async finishJobs(): Promise<void> {
    const over: { id: string; revision: number; tasks: number }[] = [];
    for (const id of this.ledger.ripe) {
      if (this.invalidBackoff.has(id)) continue;
      const held = this.replica.get<JobRecord>(jobKey(id));
      const tasks = held?.value.spec.tasks ?? Infinity;
      if (held && (this.ledger.jobs.get(id)?.done ?? 0) >= endsAt(held.value.spec)) {
        over.push({ id, revision: held.revision, tasks });
      } else this.ledger.ripe.delete(id);
    }
    const perTxn = Math.max(1, Math.floor(this.options.txnOps / 2));
    for (let at = 0; at < over.length;) {
      const ids = over.slice(at).map((one) => one.id);
      const group = over.slice(at, at + this.invalidBackoff.together(ids, perTxn));
      at += group.length;
      const guards: Guard[] = [];
      const changes: Change[] = [];
      for (const { id, revision, tasks } of group) {
        const value: FinalRecord = { state: 'done', tasks };
        guards.push({ key: jobKey(id), revision });
        changes.push({ key: jobKey(id), remove: true }, { key: finalKey(id), value });
      }
      const result = await this.options.writer.commit('leader', guards, changes);
      this.log.info({ jobs: group.map((one) => one.id), result: result.kind }, 'jobs done');
      if (result.kind === 'givenUp') return;
      for (const { id } of group) {
        if (result.kind === 'invalid') this.invalidBackoff.add(id);
        else this.invalidBackoff.clear(id);
      }
    }
  }

  // --- Assigning -----------------------------------------------------------------------------

  private async assign(): Promise<Set<string>> {
    const startedAt = this.clock.now();
    const pace = ASSIGN_PACE_MS[this.options.supply()];
    for (const [job, { at }] of this.assigned) {
      if (startedAt - at >= pace) this.assigned.delete(job);
    }
    const machines = this.inventory.machines();
    const used = new Map<string, Usage>();
    for (const [team, use] of this.ledger.teams) used.set(team, { ...use });
    const unmet: UnmetDemand[] = [];
    const queues = new Map<string, Queue>();
    const byPart = [...machines.values()].filter((one) => one.health === 'ok');
    const patient = this.arrivals.gangs.largestNotUrgent;
    const kept = patient ? reservedMachines(patient, byPart) : new Set<string>();
    const forArrays = byPart.filter((one) => !kept.has(one.name));
    const open = this.openJobs(used, byPart, kept, queues, unmet);
    const reserved = this.reserves();
    const limited = new Set<string>();
    const changes: { key: string; value: ChunkRecord }[] = [];
    const urgentKeys = new Set<string>();
    for (const job of open) {
      if (job.unassigned === 0 || this.invalidBackoff.has(job.id)) continue;
      if (job.spec.kind === 'gang') {
        this.assignGang(job, used, byPart, { changes, urgentKeys, unmet, limited }, startedAt);
        continue;
      }
      const team = this.teams.get(job.spec.team);
      const use = used.get(job.spec.team) ?? { cpus: 0, gpus: 0 };
      used.set(job.spec.team, use);
      const room = { cpus: 0, gpus: 0, memoryGb: 0 };
      room.cpus = (team?.cpusMax ?? 0) - use.cpus;
      room.gpus = (team?.gpusMax ?? 0) - use.gpus;
      let wanted = job.overdue ? Math.ceil(job.spec.tasks * BEGIN_SHARE) : job.unassigned;
      // Lower work leaves some of its team's limit to urgent work: nothing else makes room there.
      // Where services fill all but this reserve, it would wait for ever in front of free machines:
      // after a while some of it comes first.
      if (rankOf(job.spec.priority) < URGENT) {
        const reserve = reserved.get(job.spec.team) ?? 0;
        if (!this.starves(job, startedAt)) room.cpus -= reserve;
        else if (fitCount({ ...room, cpus: room.cpus - reserve }, job.spec) === 0) {
          wanted = Math.min(wanted, Math.ceil(job.spec.tasks * STARVED_SHARE));
        }
      }
      const allowed = Math.min(wanted, fitCount(room, { ...need(job.spec, 1), memoryGb: 0 }));
      // Tasks that end one by one would each bring a chunk of their own: what follows them waits
      // until some have come together.
      const lately = this.assigned.get(job.id);
      if (allowed > 0 && lately && rankOf(job.spec.priority) < URGENT) {
        const count = Math.min(allowed, lately.short);
        if (count > 0) unmet.push({ spec: job.spec, count, at: job.at });
        continue;
      }
      if (allowed <= 0) {
        if (!this.limited.has(job.id)) {
          this.log.info(
            { job: job.id, team: job.spec.team, use },
            'waits: its team is at its limit',
          );
        }
        limited.add(job.id);
        continue;
      }
      const before = changes.length;
      const waits = job.live === 0 && this.clock.wall() - job.at > KEPT_FROM_MS;
      const rooms = job.spec.kind === 'array' && !waits ? forArrays : byPart;
      const { given, roomless } = this.spreadOut(job, allowed, rooms, queues, changes);
      if (rankOf(job.spec.priority) >= URGENT) {
        for (const { key } of changes.slice(before)) urgentKeys.add(key);
      }
      use.cpus += job.spec.cpus * given;
      use.gpus += job.spec.gpus * given;
      const short = allowed - given + roomless;
      if (given > 0) {
        this.assigned.set(job.id, { at: startedAt, short: allowed - given });
        this.servedAt.set(job.id, startedAt);
      }
      if (short > 0) unmet.push({ spec: job.spec, count: short, at: job.at });
    }
    this.gangs.forget((id) => this.replica.job(id) !== null);
    for (const job of this.servedAt.keys()) if (!this.replica.job(job)) this.servedAt.delete(job);
    for (const job of this.limited) if (this.replica.job(job)) limited.add(job);
    this.limited = limited;
    this.snapshot = {
      machines: [...machines.values()],
      unmet,
      comingCpus: this.arrivals.cpus,
      coming: this.arrivals.last,
      gangs: this.arrivals.gangs.largest,
    };
    this.costMs = this.clock.now() - startedAt;
    const parts = new Set<string>();
    for (let at = 0; at < changes.length;) {
      const about = changes.slice(at).map((one) => one.key.split('/').at(-2) ?? '');
      const group = changes.slice(
        at,
        at + this.invalidBackoff.together(about, this.options.txnOps),
      );
      at += group.length;
      const jobs = new Set(group.map((one) => one.key.split('/').at(-2) ?? ''));
      const guards: Guard[] = group.map((one) => ({ key: one.key, revision: 0 }));
      // A job that is cancelled meanwhile gets no chunk. With the role that is at most two guards
      // a change and one more, and a transaction holds four.
      for (const job of jobs)
        guards.push({ key: jobKey(job), revision: this.replica.revisionOf(jobKey(job)) });
      const urgent = group.some((one) => urgentKeys.has(one.key));
      const purpose = urgent ? 'urgent' : 'leader';
      // A part may use a chunk up and remove it within seconds; a late copy of this transaction must
      // not make it a second time, for its tasks may be in another chunk by then.
      const result = await this.options.writer.commit(purpose, guards, group, true);
      this.log.debug({ jobs: [...jobs], result: result.kind }, 'tasks assigned');
      for (const job of jobs) {
        if (result.kind === 'invalid') this.invalidBackoff.add(job);
        else this.invalidBackoff.clear(job);
      }
      if (result.kind !== 'done') break;
      // Lower work queues ahead of its room: its parts see it with their next look.
      if (urgent) for (const one of group) parts.add(one.key.split('/').at(-3) ?? '');
    }
    return parts;
  }

  /** Whether nothing of a job has run or been handed out for a while. */
  private starves(job: OpenJob, now: number): boolean {
    const since = this.servedAt.get(job.id);
    if (since !== undefined && job.live === 0) return now - since > STARVED_MS;
    this.servedAt.set(job.id, now);
    return false;
  }

  /** CPUs of each team's limit that its urgent work may want at any moment. */
  private reserves(): Map<string, number> {
    const reserves = new Map<string, number>();
    for (const { spec } of this.replica.openJobs()) {
      if (rankOf(spec.priority) < URGENT) continue;
      const cpus = spec.cpus * (spec.kind === 'array' ? 1 : spec.tasks) * URGENT_RESERVE;
      const most = (this.teams.get(spec.team)?.cpusMax ?? 0) * RESERVE_SHARE;
      reserves.set(spec.team, Math.max(reserves.get(spec.team) ?? 0, Math.min(cpus, most)));
    }
    return reserves;
  }

  /** Jobs in the order of their turn; takes room for what is assigned and waits. */
  private openJobs(
    used: Map<string, Usage>,
    usable: readonly MachineCapacity[],
    kept: ReadonlySet<string>,
    queues: Map<string, Queue>,
    unmet: UnmetDemand[],
  ): OpenJob[] {
    let cpus = 0;
    const groups = new Map<string, MachineCapacity[]>();
    for (const machine of usable) {
      cpus += Math.max(0, machine.cpus) + machine.lowCpus;
      const key = placeKey(machine.part, machine.zone);
      const group = groups.get(key);
      // Most machines of a busy fleet are full: those are not looked at again for each chunk.
      if (machine.cpus > 0) {
        if (group) group.push(machine);
        else groups.set(key, [machine]);
      }
      const { part, zone } = machine;
      if (!queues.has(key)) {
        const endingCpus = this.ledger.ending.get(key) ?? 0;
        queues.set(key, { part, zone, waitingCpus: 0, endingCpus });
      }
    }
    // Tasks that wait in a part take room there too, as first fit will give it to them.
    for (const chunk of this.ledger.waiting.values()) {
      const job = this.replica.job(chunk.job);
      if (!job) continue;
      const { spec, at } = job;
      let { waiting } = chunk;
      const key = placeKey(chunk.part, chunk.zone);
      const queue = queues.get(key);
      const group = groups.get(key) ?? [];
      let full = 0;
      for (const machine of group) {
        if (waiting === 0) break;
        if (machine.cpus < spec.cpus || !isEligible(spec, machine)) continue;
        if (spec.kind === 'array' && kept.has(machine.name)) continue;
        const count = Math.min(waiting, fitCount(machine, spec));
        occupy(machine, spec, count);
        waiting -= count;
        if (machine.cpus <= 0) full++;
      }
      if (full > group.length / 4) {
        groups.set(
          key,
          group.filter((machine) => machine.cpus > 0),
        );
      }
      if (waiting === 0) continue;
      // Room to come is kept there for a gang: others must not count on it.
      if (chunk.attempt !== null) this.fillRoom(spec, chunk, waiting, usable);
      if (queue) queue.waitingCpus += waiting * spec.cpus;
      // A gang's machines must be where the rest of it has its room.
      const there = chunk.attempt !== null && spec.oneZone ? { ...spec, zone: chunk.zone } : spec;
      unmet.push({ spec: there, count: waiting, at });
    }
    return schedulingOrder(
      this.replica.openJobs(),
      this.ledger.jobs,
      this.teams,
      used,
      cpus * LATE_ROOM,
      this.clock.wall(),
    );
  }

  /**
   * Gives up to `allowed` tasks to parts: as many as they have free room for and, of lower work,
   * what they will soon have room for. `roomless` of those `given` wait there for others to end.
   */
  private spreadOut(
    job: OpenJob,
    allowed: number,
    machines: readonly MachineCapacity[],
    queues: Map<string, Queue>,
    changes: { key: string; value: ChunkRecord }[],
  ): { given: number; roomless: number } {
    const { spec } = job;
    const rooms = new Map<string, { part: string; zone: string; count: number }>();
    const note = (machine: { part: string; zone: string }, count: number): void => {
      const key = placeKey(machine.part, machine.zone);
      const room = rooms.get(key);
      if (room) room.count += count;
      else rooms.set(key, { part: machine.part, zone: machine.zone, count });
    };
    // Room beside other tasks first: machines that nothing needs then fall idle and are returned.
    let beside = 0;
    for (const busy of [true, false]) {
      if (!busy && beside >= allowed) break;
      for (const machine of machines) {
        if (machine.cpus < spec.cpus || machine.tasks > 0 !== busy) continue;
        if (!isEligible(spec, machine)) continue;
        const count = fitCount(machine, spec);
        if (count > 0) note(machine, count);
        if (busy) beside += count;
      }
    }
    const urgent = rankOf(spec.priority) >= URGENT;
    // No free room: the part may stop lower work for it.
    for (const mode of urgent ? reclaimModesFor(spec) : []) {
      if (rooms.size > 0) break;
      for (const machine of machines) {
        if (machine.lowCpus <= 0 || !isEligible(spec, machine)) continue;
        const count = fitCount(reclaimableCapacity(machine, mode), spec);
        if (count > 0) note(machine, count);
      }
    }
    const free = this.freeIds(job);
    let left = allowed;
    const give = (room: { part: string; zone: string }, count: number): void => {
      left -= count;
      changes.push(...this.chunks(spec, room, free.splice(0, count)));
    };
    const queued: Queue[] = urgent || spec.kind !== 'array' ? [] : shortQueues(job, queues);
    const zones = this.zoneRooms(job, allowed, [
      ...rooms.values(),
      ...queued.map((queue) => ({ zone: queue.zone, count: queueRoom(job, queue) })),
    ]);
    for (const room of [...rooms.values()].sort((a, b) => b.count - a.count)) {
      const count = Math.min(left, room.count, zones.get(room.zone) ?? 0);
      if (count <= 0) continue;
      zones.set(room.zone, (zones.get(room.zone) ?? 0) - count);
      give(room, count);
      this.fillRoom(spec, room, count, machines);
    }
    const inRoom = allowed - left;
    for (const queue of queued) {
      const count = Math.min(left, queueRoom(job, queue), zones.get(queue.zone) ?? 0);
      if (count <= 0) continue;
      zones.set(queue.zone, (zones.get(queue.zone) ?? 0) - count);
      give(queue, count);
      queue.waitingCpus += count * spec.cpus;
    }
    return { given: allowed - left, roomless: allowed - left - inRoom };
  }

  /** Records that hand these tasks to a part, each small enough for one value. */
  private chunks(
    spec: JobSpec,
    place: { part: string; zone: string },
    ids: number[],
    gang: Pick<ChunkRecord, 'attempt' | 'reclaim'> = {},
  ): { key: string; value: ChunkRecord }[] {
    const chunks: { key: string; value: ChunkRecord }[] = [];
    const room = this.options.valueBytes * VALUE_SHARE - CHUNK_BASE_BYTES;
    const perChunk = Math.max(1, Math.floor(room / CHUNK_TASK_BYTES));
    for (let at = 0; at < ids.length; at += perChunk) {
      const number = this.options.term * 1e6 + ++this.counter;
      chunks.push({
        key: chunkKey(place.part, spec.id, number),
        value: {
          ids: writeRanges(ids.slice(at, at + perChunk)),
          done: '',
          live: {},
          team: spec.team,
          cpus: spec.cpus,
          gpus: spec.gpus,
          memoryGb: spec.memoryGb,
          zone: place.zone,
          ...gang,
        },
      });
    }
    return chunks;
  }

  /**
   * Hands a gang out as a whole, under one attempt number, or not at all. While it has no room, or
   * its team's limit has none, what there is of it is kept from the work behind it for a while.
   */
  private assignGang(
    job: OpenJob,
    used: Map<string, Usage>,
    machines: readonly MachineCapacity[],
    round: {
      changes: { key: string; value: ChunkRecord }[];
      urgentKeys: Set<string>;
      unmet: UnmetDemand[];
      limited: Set<string>;
    },
    now: number,
  ): void {
    const { spec } = job;
    // Some of its tasks are still in the hands of a part: they end first.
    if (job.unassigned < spec.tasks || !this.gangs.mayTry(job.id, now)) return;
    const keeps = this.gangs.reservesRoom(job.id, now);
    const team = this.teams.get(spec.team);
    const use = used.get(spec.team) ?? { cpus: 0, gpus: 0 };
    used.set(spec.team, use);
    const whole = need(spec, spec.tasks);
    const over =
      use.cpus + whole.cpus > (team?.cpusMax ?? 0) + 1e-9 ||
      use.gpus + whole.gpus > (team?.gpusMax ?? 0) + 1e-9;
    let plan = over ? null : planGang(spec, machines, this.imageHints(spec));
    const claim = plan && job.guaranteed ? this.claimFor(spec, plan, machines) : null;
    if (claim) plan = { shares: [claim.share], when: 'now' };
    // While it waits its share of the limit is kept too, but not for ever: what is small goes on.
    if (plan?.shares || keeps) {
      use.cpus += whole.cpus;
      use.gpus += whole.gpus;
    }
    if (!plan) {
      if (!this.limited.has(job.id)) {
        this.log.info({ job: job.id, team: spec.team, use }, 'waits: its team is at its limit');
      }
      round.limited.add(job.id);
      return;
    }
    if (!plan.shares) {
      round.unmet.push({ spec: { ...spec, zone: plan.zone }, count: plan.missing, at: job.at });
      if (keeps && plan.zone !== null) this.fillZone(spec, plan.zone, machines);
      return;
    }
    const attempt = this.gangs.attempt(job.id, now);
    const { shares } = plan;
    const [largest] = shares;
    if (largest) this.gangs.placed(spec.image, largest);
    let first = 0;
    for (const share of shares) {
      const ids = Array.from({ length: share.count }, (_, at) => first + at);
      first += share.count;
      const chunks = this.chunks(spec, share, ids, {
        attempt,
        ...(claim && { reclaim: claim.reclaim }),
      });
      round.changes.push(...chunks);
      for (const { key } of chunks) round.urgentKeys.add(key);
      this.fillRoom(spec, share, share.count, machines);
    }
    const { when } = plan;
    this.log.info(
      { job: job.id, attempt, shares, when, ...(claim && { reclaim: claim.reclaim }) },
      'gang assigned',
    );
  }

  /** What a gang within its team's guarantee may claim of other teams; null: it has room, or none. */
  private claimFor(
    spec: JobSpec,
    plan: GangPlan,
    machines: readonly MachineCapacity[],
  ): Claim | null {
    // Urgent gangs stop lower work in any case.
    if (plan.shares && (plan.when === 'now' || reclaimModeFor(spec) === 'stopping')) return null;
    return this.claims.find(spec, machines);
  }

  private imageHints(spec: JobSpec): ImageHints {
    const withinS = this.options.startWithinS[spec.class];
    const types = new Map((readCatalog(this.replica) ?? []).map((type) => [type.name, type]));
    return {
      lastPlace: this.gangs.placeOf(spec.image),
      fetchesInTime: (name) => {
        const type = types.get(name);
        if (withinS === undefined || !type) return true;
        return spec.imageGb <= type.fetchGbPerS * withinS * FETCH_SHARE;
      },
    };
  }

  /** Keeps the free room of a zone for a gang that waits for more of it. */
  private fillZone(spec: JobSpec, zone: string, machines: readonly MachineCapacity[]): void {
    let left = spec.tasks;
    for (const machine of machines) {
      if (left === 0) return;
      if (machine.zone !== zone || !isEligible(spec, machine)) continue;
      const count = Math.min(left, fitCount(machine, spec));
      occupy(machine, spec, count);
      left -= count;
    }
  }

  private fillRoom(
    spec: JobSpec,
    room: { part: string; zone: string },
    count: number,
    machines: readonly MachineCapacity[],
  ): void {
    let left = count;
    const here = machines.filter((one) => one.part === room.part && one.zone === room.zone);
    for (const busy of [true, false]) {
      for (const machine of here) {
        if (left === 0) return;
        if (machine.tasks > 0 !== busy || machine.cpus < spec.cpus) continue;
        if (!isEligible(spec, machine)) continue;
        const some = Math.min(left, fitCount(machine, spec));
        occupy(machine, spec, some);
        left -= some;
      }
    }
    for (const machine of here) {
      if (left === 0) return;
      if (!isEligible(spec, machine)) continue;
      const some = Math.min(
        left,
        fitCount(reclaimableCapacity(machine, reclaimModeFor(spec)), spec),
      );
      occupyReclaimable(machine, spec, some);
      left -= some;
    }
  }

  /** How many tasks of the job each zone may still take, by `oneZone` and `spread`. */
  private zoneRooms(
    job: OpenJob,
    allowed: number,
    rooms: { zone: string; count: number }[],
  ): Map<string, number> {
    const { spec } = job;
    const active = new Map<string, number>();
    for (const chunk of this.replica.chunksOf(job.id)) {
      const count = chunk.ids.length - chunk.done;
      if (count > 0) active.set(chunk.zone, (active.get(chunk.zone) ?? 0) + count);
    }
    const zones = new Map<string, number>();
    const free = new Map<string, number>();
    for (const room of rooms) free.set(room.zone, (free.get(room.zone) ?? 0) + room.count);
    for (const zone of free.keys()) zones.set(zone, allowed);
    if (spec.spread) {
      const most = Math.ceil(spec.tasks / 2);
      for (const zone of zones.keys()) zones.set(zone, most - (active.get(zone) ?? 0));
    }
    if (spec.oneZone) {
      // While any of its tasks is somewhere, the others must join it there.
      const settled = active.keys().next();
      const best = [...free].sort((a, b) => b[1] - a[1])[0]?.[0];
      const only = settled.done ? best : settled.value;
      for (const zone of zones.keys()) if (zone !== only) zones.set(zone, 0);
    }
    return zones;
  }

  /** Numbers of the job's tasks that are in no chunk, lowest first. */
  private freeIds(job: OpenJob): number[] {
    const taken = new Uint8Array(job.spec.tasks);
    for (const chunk of this.replica.chunksOf(job.id)) for (const id of chunk.ids) taken[id] = 1;
    const free: number[] = [];
    for (let id = 0; id < job.spec.tasks; id++) if (taken[id] === 0) free.push(id);
    return free;
  }
}
