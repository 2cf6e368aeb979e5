/** Built controllers as processes, against a simulated key-value store, cloud and workers over HTTP. */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { machineKey, roleKey } from '../../src/storage/keys.js';
import type { RoleRecord } from '../../src/storage/records.js';
import { sleep, systemClock, type Clock } from '../../src/transport/clock.js';
import { SimCloud } from '../world/cloud.js';
import { SimGangs } from '../world/gang.js';
import { jobOf, submissionOf, type Reply, type SimJob } from '../world/jobs.js';
import { InvariantChecker, type RequestKind } from '../world/invariant-checker.js';
import { SimKeyValueStore } from '../world/key-value-store.js';
import type { HeartbeatTarget, SimulationHost } from '../world/simulation-host.js';
import type { SimWorker } from '../world/worker.js';
import type { WireCommand } from '../world/worker-wire.js';
import { answerForCloud } from './cloud-front.js';
import { ControllerProcess, type LogLine } from './controller-process.js';
import { freePort } from './free-port.js';
import { HttpFront, send, type FrontReply, type FrontRequest } from './http-front.js';
import { CANCEL_S, LEASE_S, platformSettings } from './platform-settings.js';
import { KeyValueStoreFront } from './key-value-store-front.js';

const HEARTBEAT_TIMEOUT_MS = 4_000;
const USER_TIMEOUT_MS = 5_000;
const CHECK_EVERY_MS = 100;
/** Machines that can have an address. */
const MACHINES = 24;

/** The simulated parts never end by themselves: their timers don't keep the test's process alive. */
const stoppableClock: Clock = {
  ...systemClock,
  after: (delayMs, callback) => {
    const timer = setTimeout(callback, delayMs).unref();
    return () => clearTimeout(timer);
  },
};

/** What a cluster is started with. */
export interface ClusterOptions {
  members: readonly (readonly [string, string])[];
  /** Operators' settings files. */
  operators: readonly string[];
  /** The program that controllers run first; by default this build's. */
  program?: string;
}

/** Real controllers with all that surrounds them. */
export class LoopbackCluster implements SimulationHost {
  readonly clock = stoppableClock;
  readonly members: readonly (readonly [string, string])[];
  readonly nodes: Map<string, HeartbeatTarget>;
  readonly workers = new Map<string, SimWorker>();
  readonly jobs = new Map<string, SimJob>();
  readonly completed = new Set<string>();
  readonly gangs: SimGangs = new SimGangs(this);
  readonly overrides = {};
  readonly linkDelayMs = 0;
  readonly workerLeaseMs = LEASE_S * 1000;
  readonly starts: { task: string; machine: string }[] = [];
  readonly store = new SimKeyValueStore(stoppableClock);
  readonly cloud: SimCloud = new SimCloud(this);
  private readonly invariants = new InvariantChecker(this);
  private readonly processes = new Map<string, ControllerProcess>();
  private readonly fronts = new Map<string, string>();
  private readonly servers: HttpFront[] = [];
  private readonly machineAddresses: string[] = [];
  private readonly random = xoroshiro128plus(1);
  private readonly folder = mkdtempSync(join(tmpdir(), 'mothbank-loopback-'));

  private constructor(private readonly options: ClusterOptions) {
    this.members = options.members;
    this.nodes = new Map(
      options.members.map(([name]) => [
        name,
        {
          node: {
            handleHeartbeat: (body) =>
              this.call(name, 'POST', '/checkin', body, HEARTBEAT_TIMEOUT_MS),
          },
        },
      ]),
    );
  }

  /** Opens the servers of the simulated parts and starts all controllers. */
  static async start(options: ClusterOptions): Promise<LoopbackCluster> {
    const cluster = new LoopbackCluster(options);
    await cluster.open();
    for (const process of cluster.processes.values()) process.start(options.program);
    return cluster;
  }

  /** Ends all processes and servers. */
  async stop(): Promise<void> {
    for (const process of this.processes.values()) await process.kill();
    for (const worker of this.workers.values()) worker.die();
    for (const server of this.servers) server.close();
    rmSync(this.folder, { recursive: true });
  }

  process(name: string): ControllerProcess {
    const found = this.processes.get(name);
    if (!found) throw new Error(`no controller ${name}`);
    return found;
  }

  /** What a controller logged. */
  log(name: string): LogLine[] {
    return this.process(name).log;
  }

  /** Holder and term of a role, as the key-value store has them. */
  roleRecord(role: string): RoleRecord | null {
    return (this.store.entries.get(roleKey(role))?.value as RoleRecord | undefined) ?? null;
  }

  /** Each violation of an invariant. */
  get violations(): string[] {
    return this.invariants.violations;
  }

  /** Machines that the cloud rents out, and that no record of the controllers names. */
  async orphanMachines(): Promise<string[]> {
    const { machines } = (await this.cloud.api().list('')) ?? { machines: [] };
    return machines
      .map(({ name }) => name)
      .filter((name) => !this.store.entries.has(machineKey(name)));
  }

  /** Commands of earlier owners that workers rejected. */
  get staleCommands(): number {
    return [...this.workers.values()].reduce((sum, worker) => sum + worker.staleCommands, 0);
  }

  /** Waits until something holds, checking the invariants meanwhile; throws when it takes too long. */
  async waitUntil(
    what: string,
    limitS: number,
    holds: () => boolean | Promise<boolean>,
  ): Promise<void> {
    const endsAt = this.clock.now() + limitS * 1000;
    while (!(await holds())) {
      if (this.clock.now() > endsAt)
        throw new Error(`not within ${limitS} s: ${what}${this.endedControllers()}`);
      this.invariants.check(CANCEL_S);
      await sleep(systemClock, CHECK_EVERY_MS);
    }
  }

  /** The controllers that ended by themselves, with what they said. */
  private endedControllers(): string {
    return [...this.processes]
      .filter(([, { hasEnded }]) => hasEnded)
      .map(([name, { lastPlainLine: lastWords }]) => `; ${name} has ended: ${lastWords}`)
      .join('');
  }

  /** A user's request to a controller. */
  async submit(id: string, job: Partial<SimJob>, at: string): Promise<Reply> {
    if (!this.jobs.has(id)) this.jobs.set(id, jobOf(job));
    const body = JSON.stringify(submissionOf(id, jobOf(job), {}));
    return this.ask('submit', id, at, ['POST', '/v2/runs', body]);
  }

  async poll(id: string, at: string): Promise<Reply> {
    return this.ask('poll', id, at, ['GET', `/v2/runs/${id}`, null]);
  }

  /** Asks a controller to cancel a job. */
  async cancel(id: string, at: string): Promise<Reply> {
    this.invariants.recordCancelRequest(id);
    return this.ask('cancel', id, at, ['POST', `/v2/runs/${id}/cancel`, null]);
  }

  /** Whether a controller says that it is ready. */
  async isReady(at: string): Promise<boolean> {
    return (await this.call(at, 'GET', '/ready', null, 1_000)).status === 200;
  }

  // --- Environment ---------------------------------------------------------------------------

  randomBelow(most: number): number {
    return uniformInt(this.random, 0, most - 1);
  }

  deliver(_node: string, run: () => void): void {
    run();
  }

  isCut(): boolean {
    return false;
  }

  addressOf(machine: number): string {
    return this.machineAddresses[machine % MACHINES] ?? '';
  }

  taskStarted(worker: SimWorker, task: string): void {
    this.starts.push({ task, machine: worker.machine.name });
    this.invariants.taskStarted(worker, task);
  }

  gangStarted(job: string, attempt: number): void {
    this.invariants.gangStarted(job, attempt);
  }

  // --- Sockets -------------------------------------------------------------------------------

  private async ask(
    kind: RequestKind,
    id: string,
    at: string,
    [method, path, body]: [string, string, string | null],
  ): Promise<Reply> {
    const requestedAt = this.clock.now();
    const reply = await this.call(at, method, path, body, USER_TIMEOUT_MS);
    if (reply.status !== 0) this.invariants.recordReply(kind, id, requestedAt, reply);
    return reply;
  }

  private call(
    name: string,
    method: string,
    path: string,
    body: string | null,
    timeoutMs: number,
  ): Promise<Reply> {
    return send(this.fronts.get(name) ?? '', method, path, body, timeoutMs);
  }

  private async open(): Promise<void> {
    const serve = async (handle: (one: FrontRequest) => Promise<FrontReply>): Promise<string> => {
      const server = await HttpFront.open(handle);
      this.servers.push(server);
      return server.address;
    };
    const cloud = await serve((request) => answerForCloud(this.cloud, request));
    for (let machine = 0; machine < MACHINES; machine++) {
      const address: string = await serve((request) => this.answerForWorker(address, request));
      this.machineAddresses.push(address);
    }
    const peers = new Map<string, string>();
    for (const [name] of this.members) {
      this.fronts.set(name, `127.0.0.1:${await freePort()}`);
      peers.set(name, `127.0.0.1:${await freePort()}`);
    }
    for (const [name, zone] of this.members) {
      const front = new KeyValueStoreFront(this.store, name);
      const state = await serve((request) => front.handle(request));
      const file = join(this.folder, `${name}.toml`);
      const text = platformSettings({
        name,
        zone,
        front: this.fronts.get(name) ?? '',
        members: this.members,
        peers,
        state,
        cloud,
      });
      writeFileSync(file, text);
      const operators = this.options.operators.flatMap((one) => ['--operators', one]);
      this.processes.set(name, new ControllerProcess(['--config', file, ...operators]));
    }
  }

  private async answerForWorker(
    address: string,
    { path, body }: FrontRequest,
  ): Promise<FrontReply> {
    const worker = this.workers.get(this.cloud.machineAt(address) ?? '');
    if (!worker || path !== '/commands') return null;
    if (worker.directDelayMs > 0) await sleep(this.clock, worker.directDelayMs);
    const { mandate, flight, calls } = body;
    const reply = worker.command(Number(mandate), Number(flight), calls as WireCommand[]);
    return { status: reply.status, body: JSON.parse(reply.body) as unknown };
  }
}
