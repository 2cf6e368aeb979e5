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
/** Number of addresses for machines, each with an HTTP server of its own. */
const MACHINE_ADDRESSES = 24;

/** A clock whose timers do not keep the test's process alive, because the simulated parts never stop theirs. */
const stoppableClock: Clock = {
  ...systemClock,
  after: (delayMs, callback) => {
    const timer = setTimeout(callback, delayMs).unref();
    return () => clearTimeout(timer);
  },
};

/** Options of a cluster. */
export interface ClusterOptions {
  members: readonly (readonly [string, string])[];
  /** Paths of operators' settings files. */
  operators: readonly string[];
  /** Path of the program that controllers are started with; by default this build's. */
  program?: string;
}

/** Real controllers, with a simulated key-value store, cloud and workers. */
export class LoopbackCluster implements SimulationHost {
  readonly clock = stoppableClock;
  readonly members: readonly (readonly [string, string])[];
  readonly nodes: Map<string, HeartbeatTarget>;
  readonly workers = new Map<string, SimWorker>();
  readonly jobs = new Map<string, SimJob>();
  readonly completedTasks = new Set<string>();
  readonly gangs: SimGangs = new SimGangs(this);
  readonly overrides = {};
  readonly linkDelayMs = 0;
  readonly workerLeaseMs = LEASE_S * 1000;
  readonly starts: { task: string; machine: string }[] = [];
  readonly store = new SimKeyValueStore(stoppableClock);
  readonly cloud: SimCloud = new SimCloud(this);
  private readonly invariants = new InvariantChecker(this);
  private readonly processes = new Map<string, ControllerProcess>();
  private readonly frontAddresses = new Map<string, string>();
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

  /** Returns the lines that a controller logged. */
  log(name: string): LogLine[] {
    return this.process(name).log;
  }

  /** Returns the record of a role in the key-value store, or null if there is none. */
  roleRecord(role: string): RoleRecord | null {
    return (this.store.entries.get(roleKey(role))?.value as RoleRecord | undefined) ?? null;
  }

  /** A description of each violation of an invariant. */
  get violations(): string[] {
    return this.invariants.violations;
  }

  /** Returns the rented machines that have no machine record in the key-value store. */
  async orphanMachines(): Promise<string[]> {
    const { machines } = (await this.cloud.api().list('')) ?? { machines: [] };
    return machines
      .map(({ name }) => name)
      .filter((name) => !this.store.entries.has(machineKey(name)));
  }

  /** Number of commands of earlier shard holders that workers rejected. */
  get staleCommands(): number {
    return [...this.workers.values()].reduce((sum, worker) => sum + worker.staleCommands, 0);
  }

  /** Waits until a condition holds, and checks the invariants meanwhile; throws after `limitS`. */
  async waitUntil(
    condition: string,
    limitS: number,
    holds: () => boolean | Promise<boolean>,
  ): Promise<void> {
    const endsAt = this.clock.now() + limitS * 1000;
    while (!(await holds())) {
      if (this.clock.now() > endsAt)
        throw new Error(`timed out after ${limitS} s: ${condition}${this.endedControllers()}`);
      this.invariants.check(CANCEL_S);
      await sleep(systemClock, CHECK_EVERY_MS);
    }
  }

  /** Describes the controllers that exited by themselves, with the last line that each printed. */
  private endedControllers(): string {
    return [...this.processes]
      .filter(([, { hasEnded }]) => hasEnded)
      .map(([name, { lastPlainLine }]) => `; ${name} exited: ${lastPlainLine}`)
      .join('');
  }

  /** Submits a job to a controller. */
  async submit(id: string, job: Partial<SimJob>, at: string): Promise<Reply> {
    if (!this.jobs.has(id)) this.jobs.set(id, jobOf(job));
    const body = JSON.stringify(submissionOf(id, jobOf(job), {}));
    return this.sendUserRequest('submit', id, at, ['POST', '/v2/runs', body]);
  }

  /** Asks a controller for the state of a job. */
  async poll(id: string, at: string): Promise<Reply> {
    return this.sendUserRequest('poll', id, at, ['GET', `/v2/runs/${id}`, null]);
  }

  /** Asks a controller to cancel a job. */
  async cancel(id: string, at: string): Promise<Reply> {
    this.invariants.recordCancelRequest(id);
    return this.sendUserRequest('cancel', id, at, ['POST', `/v2/runs/${id}/cancel`, null]);
  }

  /** Returns whether a controller answers that it is ready. */
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
    return this.machineAddresses[machine % MACHINE_ADDRESSES] ?? '';
  }

  recordTaskStart(worker: SimWorker, task: string): void {
    this.starts.push({ task, machine: worker.machine.name });
    this.invariants.recordTaskStart(worker, task);
  }

  recordGangStart(job: string, attempt: number): void {
    this.invariants.recordGangStart(job, attempt);
  }

  // --- Sockets -------------------------------------------------------------------------------

  private async sendUserRequest(
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
    return send(this.frontAddresses.get(name) ?? '', method, path, body, timeoutMs);
  }

  private async open(): Promise<void> {
    const serve = async (handle: (one: FrontRequest) => Promise<FrontReply>): Promise<string> => {
      const server = await HttpFront.open(handle);
      this.servers.push(server);
      return server.address;
    };
    const cloud = await serve((request) => answerForCloud(this.cloud, request));
    for (let machine = 0; machine < MACHINE_ADDRESSES; machine++) {
      const address: string = await serve((request) => this.answerForWorker(address, request));
      this.machineAddresses.push(address);
    }
    const peers = new Map<string, string>();
    for (const [name] of this.members) {
      this.frontAddresses.set(name, `127.0.0.1:${await freePort()}`);
      peers.set(name, `127.0.0.1:${await freePort()}`);
    }
    for (const [name, zone] of this.members) {
      const front = new KeyValueStoreFront(this.store, name);
      const store = await serve((request) => front.handle(request));
      const file = join(this.folder, `${name}.toml`);
      const text = platformSettings({
        name,
        zone,
        front: this.frontAddresses.get(name) ?? '',
        members: this.members,
        peers,
        store,
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
