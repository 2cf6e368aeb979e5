import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { ControllerNode, type Outside } from '../../src/coordination/node.js';
import { readSettings, type Settings } from '../../src/protocol/settings.js';
import type { CloudApi } from '../../src/protocol/cloud-api.js';
import type { PeerMessage } from '../../src/protocol/peer-messages.js';
import type { Command, ListedMachine, MachineType } from '../../src/protocol/model.js';
import { roleKey } from '../../src/storage/keys.js';
import type { RoleRecord } from '../../src/storage/records.js';
import type { Log } from '../../src/storage/log.js';
import type { DirectResult } from '../../src/protocol/worker-api.js';
import { encodeDirect, parseReport } from '../../src/protocol/worker-codec.js';
import { NoAnswer } from '../../src/transport/http-client.js';
import { SimClock } from './clock.js';
import { SimGangs } from './gang.js';
import { SimState } from './state.js';
import { SimWorker } from './worker.js';

export { readSettings };

export const silent: Log = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: (fields, message) => {
    throw new Error(`${message}: ${JSON.stringify(fields)}`);
  },
};

export const TYPES: MachineType[] = [
  {
    name: 'small',
    cpus: 4,
    gpus: 0,
    memoryGb: 16,
    cacheGb: 50,
    fetchGbPerS: 1,
    price: 0.2,
    spotPrice: 0.1,
    bootS: 10,
    zones: ['a', 'b'],
  },
];

export const TEAMS = [
  { name: 'red', cpus: 8, cpusMax: 16, gpus: 0, gpusMax: 0 },
  { name: 'blue', cpus: 8, cpusMax: 12, gpus: 0, gpusMax: 0 },
  // Wide enough for a gang larger than one transaction; nothing is guaranteed to it.
  { name: 'wide', cpus: 0, cpusMax: 60, gpus: 0, gpusMax: 0 },
];

/** What operators would set for the world's fleet. */
export const FLEET = { idleS: 30, headroomCpus: 0, spot: true, maxMachines: 8 };

export function settingsOf(node: string, zone: string, all: [string, string][]): Settings {
  return {
    node,
    zone,
    listen: '127.0.0.1:0',
    peerListen: '127.0.0.1:0',
    peers: all
      .filter(([name]) => name !== node)
      .map(([name, site]) => ({ node: name, zone: site, address: '127.0.0.1:1' })),
    cloud: '',
    state: '',
    zones: ['a', 'b'],
    skewMs: 100,
    teams: TEAMS,
    startWithinS: {},
    reportS: 3,
    leaseS: 24,
    cancelS: 50,
    gangWaitS: 35,
    gangPeerS: 8,
    stateRps: 80,
    stateWriteRps: 25,
    valueBytes: 8192,
    txnOps: 8,
    cloudRps: 5,
    listLagS: 4,
    sockets: 1000,
    placement: { alpha: 2, penalty: 2, snapshotS: 30 },
    fleet: FLEET,
  };
}

/** A relayed answer's body is still text. */
function unwrap(reply: Reply): Reply {
  const { status, body } = reply;
  return { status, body: typeof body === 'string' ? (JSON.parse(body) as unknown) : body };
}

export interface Reply {
  status: number;
  body: unknown;
}

/** The state of a job that an answer names. */
export const stageOf = (reply: Reply): string =>
  (reply.body as { stage?: string } | null)?.stage ?? '';

export interface SimJob {
  team: string;
  cpus: number;
  gpus: number;
  tasks: number;
  runS: number;
  service: boolean;
  /** All its tasks run together or none does. */
  gang: boolean;
  /** Interval of progress after which it saves by itself; 0: it never saves. */
  checkpointS: number;
  /** What saving takes when it is stopped. */
  saveS: number;
  spot: boolean;
  zone: string | null;
  oneZone: boolean;
  spread: boolean;
  /** Allowed machine types; null: any. */
  types: string[] | null;
  cancelledAt: number | null;
  urgent: boolean;
  deadlineS: number | null;
  /** Its tasks fail on every machine. */
  broken: boolean;
}

/** Controllers, workers, cloud and state service in simulated time, and a judge of the rules. */
export class World {
  readonly clock = new SimClock();
  readonly state;
  readonly nodes = new Map<string, { node: ControllerNode; kill: () => void }>();
  readonly workers = new Map<string, SimWorker>();
  readonly jobs = new Map<string, SimJob>();
  readonly broken: string[] = [];
  readonly completed = new Set<string>();
  /** Starts after a confirmed cancellation: counted apart, since the rules give some time. */
  readonly startsAfterCancel: string[] = [];
  /** Jobs that a node called accepted, and the ends that nodes told of jobs, with the time. */
  readonly accepted = new Set<string>();
  readonly told = new Map<string, { stage: string; at: number }>();
  /** Jobs whose users asked to cancel them. */
  private readonly asked = new Set<string>();
  readonly starts: { task: string; machine: string; at: number }[] = [];
  /** When all tasks of a gang ran together. */
  readonly gangStarts: { job: string; attempt: number; at: number }[] = [];
  readonly gangs = new SimGangs(this);
  /** Pairs "x>y" that can't reach each other; x and y are node or machine names. */
  readonly cuts = new Set<string>();
  /** ms that messages between nodes and workers take each way. */
  linkMs = 1;
  /** What waits for nodes that stand still. */
  private readonly frozen = new Map<string, (() => void)[]>();
  /** Zone and kind of what the cloud still has; 0 refuses. */
  capacity = 20;
  /** The cloud takes nothing back. */
  cloudTrouble = false;
  /** The cloud tells its machine types. */
  catalog = true;
  private readonly rented = new Map<string, ListedMachine>();
  private readonly requests = new Map<string, string[]>();
  private machineCount = 0;
  private incarnations = 0;
  private readonly random;

  constructor(
    seed: number,
    readonly members: [string, string][] = [
      ['n0', 'a'],
      ['n1', 'a'],
      ['n2', 'b'],
    ],
    /** What the nodes' settings say otherwise. */
    readonly overrides: Partial<Settings> = {},
  ) {
    this.random = xoroshiro128plus(seed);
    this.state = new SimState(this.clock, seed);
    for (const [name] of members) this.boot(name);
  }

  chance(most: number): number {
    return uniformInt(this.random, 0, most - 1);
  }

  /** A node stands still while clocks run on: what comes for it meanwhile is handled on waking. */
  freeze(name: string, seconds: number): void {
    const held: (() => void)[] = [];
    this.frozen.set(name, held);
    this.clock.after(seconds * 1000, () => {
      this.frozen.delete(name);
      for (const run of held) run();
    });
  }

  /** Runs what comes for a node, when it can. */
  at(name: string, run: () => void): void {
    const held = this.frozen.get(name);
    if (held) held.push(run);
    else run();
  }

  boot(name: string): void {
    this.frozen.delete(name);
    const zone = this.members.find(([one]) => one === name)?.[1] ?? 'a';
    let dead = false;
    const clock = {
      now: () => this.clock.now(),
      wall: () => this.clock.wall(),
      after: (delay: number, run: () => void) =>
        this.clock.after(delay, () => {
          this.at(name, () => {
            if (!dead) run();
          });
        }),
    };
    const guard = <T>(call: Promise<T>): Promise<T> =>
      new Promise((resolve, reject) => {
        call.then(
          (value) => this.at(name, () => (dead ? undefined : resolve(value))),
          (error: unknown) => this.at(name, () => (dead ? undefined : reject(error as Error))),
        );
      });
    const api = this.state.api(name);
    const outside: Outside = {
      clock,
      state: {
        get: (key) => guard(api.get(key)),
        list: (prefix, after) => guard(api.list(prefix, after)),
        txn: (guards, changes) => guard(api.txn(guards, changes)),
        grant: (ttl) => guard(api.grant(ttl)),
        extend: (lease) => guard(api.extend(lease)),
        watch: (prefix, since, wait) => guard(api.watch(prefix, since, wait)),
      },
      cloud: this.cloud(),
      workers: {
        full: false,
        command: (address, token, session, commands) =>
          guard(this.direct(name, address, token, session, commands)),
      },
      peersThere: () =>
        [...this.nodes.keys()].filter((peer) => peer !== name && !this.cut(name, peer)),
      tellPeer: (peer, message) => {
        const other = this.nodes.get(peer);
        if (!other || this.cut(name, peer)) return false;
        const back = (reply: PeerMessage): void => {
          this.clock.after(2, () => {
            this.at(name, () => this.nodes.get(name)?.node.heard(reply, () => undefined));
          });
        };
        this.clock.after(2, () => {
          this.at(peer, () => this.nodes.get(peer)?.node.heard(message, back));
        });
        return true;
      },
    };
    const node = new ControllerNode(
      { ...settingsOf(name, zone, this.members), ...this.overrides },
      outside,
      silent,
      `${name}-${++this.incarnations}`,
    );
    node.start();
    this.nodes.set(name, {
      node,
      kill: () => {
        dead = true;
        node.stop();
        this.nodes.delete(name);
      },
    });
  }

  /** The node that holds the leader's role, by the state service. */
  get leader(): string {
    return (this.state.cells.get(roleKey('leader'))?.value as RoleRecord | undefined)?.owner ?? '';
  }

  kill(name: string): void {
    this.nodes.get(name)?.kill();
  }

  cut(x: string, y: string): boolean {
    return this.cuts.has(`${x}>${y}`) || this.cuts.has(`${y}>${x}`);
  }

  private direct(
    node: string,
    address: string,
    token: number,
    session: number,
    commands: Command[],
  ): Promise<DirectResult> {
    return new Promise((resolve, reject) => {
      const machine = [...this.rented.values()].find((one) => one.address === address);
      const worker = machine ? this.workers.get(machine.name) : undefined;
      const cut = !worker || worker.deaf || this.cut(node, worker.machine.name);
      const held = Math.max(worker?.holdDirectMs ?? 0, worker?.hungMs ?? 0);
      const { calls } = encodeDirect(token, session, commands) as { calls: never[] };
      this.clock.after(2000, () => reject(new NoAnswer('timed out')));
      if (cut) return;
      this.clock.after(this.linkMs + held, () => {
        const reply = worker.command(token, session, calls);
        for (const later of worker.repeatDirectMs) {
          this.clock.after(later, () => worker.command(token, session, calls));
        }
        const parsed = parseReport(JSON.parse(reply.body) as Record<string, unknown>);
        if (parsed.ok && held === 0)
          resolve({ executed: reply.status === 200, report: parsed.value });
      });
    });
  }

  private cloud(): CloudApi {
    return {
      types: () =>
        this.catalog
          ? Promise.resolve(structuredClone(TYPES))
          : Promise.reject(new NoAnswer('no catalogue')),
      rent: ({ request, type, zone, spot, count }) => {
        const before = this.requests.get(request);
        if (before) return Promise.resolve({ kind: 'rented', machines: before });
        const got = Math.min(count, this.capacity);
        if (got === 0) return Promise.resolve({ kind: 'noCapacity' });
        const machines = Array.from({ length: got }, () => this.addMachine(type, zone, spot, 8000));
        this.requests.set(request, machines);
        return Promise.resolve({ kind: 'rented', machines });
      },
      giveBack: (machines) => {
        if (this.cloudTrouble) return Promise.resolve(false);
        for (const name of machines) this.removeMachine(name);
        return Promise.resolve(true);
      },
      list: (after) =>
        Promise.resolve({
          machines: [...this.rented.values()].filter((one) => one.name > after),
          more: false,
        }),
    };
  }

  addMachine(type: string, zone: string, spot: boolean, bootMs: number): string {
    const name = `m-${String(this.machineCount++).padStart(6, '0')}`;
    this.capacity--;
    const address = `10.1.0.${this.machineCount}:9000`;
    this.rented.set(name, { name, address, type, zone, spot, state: 'booting', ageS: 0 });
    this.clock.after(bootMs, () => {
      const entry = this.rented.get(name);
      if (!entry) return;
      entry.state = 'running';
      this.workers.set(name, new SimWorker(this, { name, address, type, zone, spot }));
    });
    return name;
  }

  removeMachine(name: string): void {
    if (this.rented.delete(name)) this.capacity++;
    this.workers.get(name)?.die();
    this.workers.delete(name);
  }

  /** `raw` overrides fields as sent; undefined leaves one out. */
  submit(
    id: string,
    job: Partial<SimJob>,
    at = 'n0',
    raw: Record<string, unknown> = {},
  ): Promise<Reply> {
    const whole: SimJob = {
      team: 'red',
      cpus: 1,
      gpus: 0,
      tasks: 4,
      runS: 10,
      service: false,
      gang: false,
      checkpointS: 0,
      saveS: 0,
      spot: true,
      zone: null,
      oneZone: false,
      spread: false,
      types: null,
      cancelledAt: null,
      urgent: false,
      broken: false,
      deadlineS: null,
      ...job,
    };
    // A repeated submission leaves what is known of the job.
    if (!this.jobs.has(id)) this.jobs.set(id, whole);
    const body = {
      ref: id,
      lane: 'work',
      crew: whole.team,
      shape: whole.gang ? 'group' : whole.service ? 'standing' : 'sweep',
      rank: whole.urgent ? 'urgent' : 'normal',
      larvae: whole.tasks,
      cores: whole.cpus,
      gpus: whole.gpus,
      memGb: 1,
      cocoon: 'img-1',
      imageGb: 1,
      breeds: whole.types,
      grove: whole.zone,
      samePlace: whole.oneZone,
      apart: whole.spread,
      windfall: whole.spot,
      guessS: whole.service ? 0 : whole.runS,
      moltS: whole.checkpointS,
      spinS: whole.saveS,
      duskS: whole.deadlineS,
      ...raw,
    };
    return this.post(body, at);
  }

  /** A submission as it is, also one that nobody should accept. */
  post(body: object, at = 'n0'): Promise<Reply> {
    return this.ask('submit', String((body as { ref?: unknown }).ref), JSON.stringify(body), at);
  }

  cancel(id: string, at = 'n0'): Promise<Reply> {
    this.asked.add(id);
    return this.ask('cancel', id, null, at);
  }

  poll(id: string, at = 'n0'): Promise<Reply> {
    return this.ask('poll', id, null, at);
  }

  private ask(
    kind: 'submit' | 'cancel' | 'poll',
    id: string,
    body: string | null,
    at: string,
  ): Promise<Reply> {
    const node = this.nodes.get(at)?.node;
    if (!node) return Promise.resolve({ status: 0, body: null });
    const askedAt = this.clock.now();
    return new Promise((resolve) => {
      this.at(at, () => {
        void node.serve(kind, kind === 'submit' ? '' : id, body).then((raw) => {
          const reply = unwrap(raw);
          this.judge(kind, id, askedAt, reply);
          resolve(reply);
        });
      });
    });
  }

  // --- The judge -----------------------------------------------------------------------------

  /** What a node tells a user: ends stay, accepted jobs stay known, `done` means done. */
  private judge(kind: string, id: string, askedAt: number, reply: Reply): void {
    const now = this.clock.now();
    const known = this.accepted.has(id);
    if (reply.status === 404 && known) this.broken.push(`forgotten ${id} (${kind})`);
    if (kind === 'submit' && (reply.status === 400 || reply.status === 422) && known) {
      this.broken.push(`forgotten ${id} (submission ${reply.status})`);
    }
    if (reply.status !== 200 && reply.status !== 201) return;
    const stage = stageOf(reply);
    const job = this.jobs.get(id);
    if (kind === 'submit') this.accepted.add(id);
    else if (!this.jobs.has(id)) this.broken.push(`invented ${id} (${kind})`);
    const before = this.told.get(id);
    if (before && before.at <= askedAt && before.stage !== stage) {
      this.broken.push(`went_back ${id} ${before.stage} to ${stage}`);
    }
    if (before && (stage === 'done' || stage === 'withdrawn') && before.stage !== stage) {
      this.broken.push(`went_back ${id}: both ${before.stage} and ${stage}`);
    }
    if (stage === 'withdrawn' && !this.asked.has(id)) {
      this.broken.push(`went_back ${id} withdrawn, though nobody asked for it`);
    }
    if (stage === 'done') {
      for (let index = 0; index < (job?.tasks ?? 0); index++) {
        if (!this.completed.has(`${id}/${index}`)) this.broken.push(`not_done ${id}/${index}`);
      }
    }
    if (stage === 'withdrawn' && job) job.cancelledAt ??= now;
    if (!before && (stage === 'done' || stage === 'withdrawn')) {
      this.told.set(id, { stage, at: now });
    }
  }

  /** Called when all tasks of a gang run. */
  gangStarted(id: string, attempt: number): void {
    this.gangStarts.push({ job: id, attempt, at: this.clock.now() });
    for (const worker of this.workers.values()) {
      for (const [name, task] of worker.onMachine()) {
        if (name.startsWith(`${id}/`) && task.state === 'running' && task.attempt !== attempt) {
          this.broken.push(`two_attempts ${name}: ${task.attempt} and ${attempt}`);
        }
      }
    }
  }

  /** Called by a worker when a task gets on its machine. */
  started(worker: SimWorker, task: string): void {
    const [id = ''] = task.split('/');
    const job = this.jobs.get(id);
    this.starts.push({ task, machine: worker.machine.name, at: this.clock.now() });
    let used = 0;
    const zones = new Map<string, number>();
    for (const other of this.workers.values()) {
      for (const [name, on] of other.onMachine()) {
        if (name === task && other !== worker) this.broken.push(`ran_twice ${task}`);
        const otherJob = this.jobs.get(name.split('/')[0] ?? '');
        if (otherJob?.team === job?.team) used += on.cpus;
        if (name.startsWith(`${id}/`) && name !== task) {
          zones.set(other.machine.zone, (zones.get(other.machine.zone) ?? 0) + 1);
        }
      }
    }
    if (!job) return;
    if (job.cancelledAt !== null) this.startsAfterCancel.push(task);
    if (job.cancelledAt !== null && this.clock.now() - job.cancelledAt > 50_000) {
      this.broken.push(`ran_cancelled ${task} starts`);
    }
    const most = TEAMS.find((team) => team.name === job.team)?.cpusMax ?? 0;
    if (used > most + 1e-6) this.broken.push(`quota ${job.team} ${used}`);
    const { zone, spot } = worker.machine;
    if ((spot && !job.spot) || (job.zone !== null && job.zone !== zone)) {
      this.broken.push(`wrong_place ${task}`);
    }
    if (job.oneZone && [...zones.keys()].some((other) => other !== zone)) {
      this.broken.push(`wrong_place ${task} (one zone)`);
    }
    if (job.spread && (zones.get(zone) ?? 0) + 1 > Math.ceil(job.tasks / 2)) {
      this.broken.push(`wrong_place ${task} (spread)`);
    }
  }

  /** Tasks of cancelled jobs that are still on a machine past their time. */
  checkCancelled(cancelS: number): void {
    for (const worker of this.workers.values()) {
      for (const [name] of worker.onMachine()) {
        const at = this.jobs.get(name.split('/')[0] ?? '')?.cancelledAt ?? null;
        if (at !== null && this.clock.now() > at + cancelS * 1000) {
          this.broken.push(`ran_cancelled ${name}`);
        }
      }
    }
  }

  /** Runs on, judging as it goes. */
  async run(seconds: number): Promise<void> {
    const until = this.clock.now() + seconds * 1000;
    while (this.clock.now() < until) {
      await this.clock.run(Math.min(until, this.clock.now() + 1000));
      this.checkCancelled(50);
    }
  }
}
