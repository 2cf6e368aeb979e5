/** The simulated cluster: controllers, workers, cloud and key-value store in simulated time. */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { ControllerCore } from '../../src/coordination/controller/controller-core.js';
import { FailureDetection } from '../../src/coordination/failure-detection/failure-detection.js';
import type { PeerMessage } from '../../src/protocol/peer-messages.js';
import type { Settings } from '../../src/protocol/settings.js';
import { roleKey } from '../../src/storage/keys.js';
import type { Log } from '../../src/storage/log.js';
import type { RoleRecord } from '../../src/storage/records.js';
import { SimClock } from './clock.js';
import { SimCloud } from './cloud.js';
import { SimGangs } from './gang.js';
import { jobOf, submissionOf, unwrap, type Reply, type SimJob } from './jobs.js';
import { InvariantChecker, type RequestKind } from './invariant-checker.js';
import { environmentOf } from './environment.js';
import { settingsOf, silentLog } from './settings.js';
import { SimKeyValueStore } from './key-value-store.js';
import type { SimulationHost } from './simulation-host.js';
import type { SimWorker } from './worker.js';

/** Name and zone of each controller. */
export type Members = [string, string][];

/** Controllers, workers, cloud and key-value store in simulated time, with an invariant checker. */
export class World implements SimulationHost {
  readonly clock = new SimClock();
  readonly store;
  readonly cloud = new SimCloud(this);
  readonly nodes = new Map<string, { node: ControllerCore; kill: () => void }>();
  readonly workers = new Map<string, SimWorker>();
  readonly jobs = new Map<string, SimJob>();
  readonly completedTasks = new Set<string>();
  readonly starts: { task: string; machine: string; at: number }[] = [];
  /** Attempts of gangs whose tasks all ran at the same time; `at`: ms of simulated time. */
  readonly gangStarts: { job: string; attempt: number; at: number }[] = [];
  readonly gangs: SimGangs = new SimGangs(this);
  /** Pairs "x>y" of controllers or machines that cannot reach each other, in either direction. */
  readonly cutLinks = new Set<string>();
  /** Changes a message between controllers before it is delivered. */
  onPeerMessage: (message: PeerMessage) => PeerMessage = (message) => message;
  /** Injects a fault: returns the reply that a user receives in place of the controller's. */
  alterReply: (kind: RequestKind, id: string, reply: Reply) => Reply = (_kind, _id, reply) => reply;
  /** Pairs "x>y" of connected controllers whose messages are lost, in both directions. */
  readonly lossyLinks = new Set<string>();
  /** Pairs "x>y" of controllers: messages from x to y are lost, messages from y to x arrive. */
  readonly oneWayLossyLinks = new Set<string>();
  /** Returns the changes of one controller's default settings; read when the controller starts. */
  settingsFor: (node: string) => Partial<Settings> = () => this.overrides;
  /** Returns the log of a controller. */
  private readonly logOf: (node: string) => Log;
  /** Delay in ms of a message between a controller and a worker, in each direction. */
  linkDelayMs = 1;
  readonly workerLeaseMs = 24_000;
  private readonly invariants = new InvariantChecker(this);
  /** Events that paused controllers handle when their pause ends, by controller. */
  private readonly pendingWhilePaused = new Map<string, (() => void)[]>();
  private incarnations = 0;
  private readonly random;

  constructor(
    seed: number,
    readonly members: Members = [
      ['n0', 'a'],
      ['n1', 'a'],
      ['n2', 'b'],
    ],
    /** Changes of the default settings, for all controllers. */
    readonly overrides: Partial<Settings> = {},
    logOf: (node: string) => Log = () => silentLog,
  ) {
    this.logOf = logOf;
    this.random = xoroshiro128plus(seed);
    this.store = new SimKeyValueStore(this.clock, seed);
    for (const [name] of members) this.boot(name);
  }

  /** Returns a random integer from 0 to `most` - 1, determined by the world's seed. */
  randomBelow(most: number): number {
    return uniformInt(this.random, 0, most - 1);
  }

  // --- Controllers -------------------------------------------------------------------------------

  /** Pauses a controller while time continues; its events are handled when the pause ends. */
  pause(name: string, seconds: number): void {
    const pendingEvents: (() => void)[] = [];
    this.pendingWhilePaused.set(name, pendingEvents);
    this.clock.after(seconds * 1000, () => {
      this.pendingWhilePaused.delete(name);
      // Each is a clock event of its own, so that promises settle in between, as in a real process.
      for (const run of pendingEvents) this.clock.after(0, run);
    });
  }

  /** Runs an event of a controller, at once or when the controller's pause ends. */
  deliver(name: string, run: () => void): void {
    const pendingEvents = this.pendingWhilePaused.get(name);
    if (pendingEvents) pendingEvents.push(run);
    else run();
  }

  /** Starts a controller as a new incarnation. */
  boot(name: string): void {
    this.pendingWhilePaused.delete(name);
    const zone = this.members.find(([one]) => one === name)?.[1] ?? 'a';
    let dead = false;
    const settings = { ...settingsOf(name, zone, this.members), ...this.settingsFor(name) };
    const { suspicion } = settings;
    const node = new ControllerCore({
      settings,
      environment: environmentOf(this, name, () => dead),
      log: this.logOf(name),
      incarnation: `${name}-${++this.incarnations}`,
      createDetection: suspicion ? (options) => new FailureDetection(options, suspicion) : null,
    });
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

  /** The stored holder of the leader's role; empty: none is stored. */
  get leader(): string {
    return (
      (this.store.entries.get(roleKey('leader'))?.value as RoleRecord | undefined)?.owner ?? ''
    );
  }

  /** Stops a controller at once; it receives no further events. */
  kill(name: string): void {
    this.nodes.get(name)?.kill();
  }

  /** True if two controllers, or a controller and a machine, cannot reach each other. */
  isCut(x: string, y: string): boolean {
    return this.cutLinks.has(`${x}>${y}`) || this.cutLinks.has(`${y}>${x}`);
  }

  /** True if two controllers are connected but lose all messages to each other. */
  isLossy(x: string, y: string): boolean {
    return this.lossyLinks.has(`${x}>${y}`) || this.lossyLinks.has(`${y}>${x}`);
  }

  // --- The cloud -----------------------------------------------------------------------------

  /** Number of machines that can still be rented; with 0, the cloud answers "no capacity". */
  get capacity(): number {
    return this.cloud.capacity;
  }

  set capacity(machines: number) {
    this.cloud.capacity = machines;
  }

  /** True if the cloud refuses to take machines back. */
  get cloudRefusesReturns(): boolean {
    return this.cloud.refusesReturns;
  }

  set cloudRefusesReturns(refuses: boolean) {
    this.cloud.refusesReturns = refuses;
  }

  /** True if the cloud answers requests for its machine types. */
  get cloudHasCatalog(): boolean {
    return this.cloud.hasCatalog;
  }

  set cloudHasCatalog(known: boolean) {
    this.cloud.hasCatalog = known;
  }

  /** Returns the address of the machine with this number. */
  addressOf(machine: number): string {
    return `10.1.0.${machine}:9000`;
  }

  /** Rents a machine whose worker starts after `bootMs`; returns the machine's name. */
  addMachine(type: string, zone: string, spot: boolean, bootMs: number): string {
    return this.cloud.addMachine(type, zone, spot, bootMs);
  }

  /** Removes a machine at once, from the cloud's list as well. */
  removeMachine(name: string): void {
    this.cloud.removeMachine(name);
  }

  // --- Users ---------------------------------------------------------------------------------

  /** Submits a job. `raw` replaces fields of the request's body; undefined removes a field. */
  submit(
    id: string,
    job: Partial<SimJob>,
    at = 'n0',
    raw: Record<string, unknown> = {},
  ): Promise<Reply> {
    const fullJob = jobOf(job);
    // A repeated submission does not replace the job of the first one.
    if (!this.jobs.has(id)) this.jobs.set(id, fullJob);
    return this.post(submissionOf(id, fullJob, raw), at);
  }

  /** Sends a submission's body unchanged, so that tests can send invalid ones. */
  post(body: object, at = 'n0'): Promise<Reply> {
    return this.request(
      'submit',
      String((body as { ref?: unknown }).ref),
      JSON.stringify(body),
      at,
    );
  }

  /** Asks a controller to cancel a job. */
  cancel(id: string, at = 'n0'): Promise<Reply> {
    this.invariants.recordCancelRequest(id);
    return this.request('cancel', id, null, at);
  }

  /** Asks a controller for the state of a job. */
  poll(id: string, at = 'n0'): Promise<Reply> {
    return this.request('poll', id, null, at);
  }

  private request(kind: RequestKind, id: string, body: string | null, at: string): Promise<Reply> {
    const node = this.nodes.get(at)?.node;
    if (!node) {
      this.invariants.recordNoReply(kind, id);
      return Promise.resolve({ status: 0, body: null });
    }
    const requestedAt = this.clock.now();
    return new Promise((resolve) => {
      this.deliver(at, () => {
        void node.handleUserRequest(kind, kind === 'submit' ? '' : id, body).then((raw) => {
          const reply = this.alterReply(kind, id, unwrap(raw));
          this.invariants.recordReply(kind, id, requestedAt, reply);
          resolve(reply);
        });
      });
    });
  }

  // --- The invariant checker ---------------------------------------------------------------------

  /** The violations of invariants so far. */
  get violations(): string[] {
    return this.invariants.violations;
  }

  /** Tasks that started after a confirmed cancellation; a violation only after more than 50 s. */
  get startsAfterCancel(): string[] {
    return this.invariants.startsAfterCancel;
  }

  /** Jobs whose submission a controller accepted. */
  get accepted(): Set<string> {
    return this.invariants.accepted;
  }

  /** Final states of jobs in replies to users, with the time in ms of the first such reply. */
  get answeredEnds(): Map<string, { stage: string; at: number }> {
    return this.invariants.answeredEnds;
  }

  /** Starts the checks that apply only after all faults are over. */
  startChecksAfterFaults(): void {
    this.invariants.startChecksAfterFaults();
  }

  /** Records that all tasks of a gang run. */
  recordGangStart(id: string, attempt: number): void {
    this.gangStarts.push({ job: id, attempt, at: this.clock.now() });
    this.invariants.recordGangStart(id, attempt);
  }

  /** Records that a task has its image and occupies its machine; called by the worker. */
  recordTaskStart(worker: SimWorker, task: string): void {
    this.starts.push({ task, machine: worker.machine.name, at: this.clock.now() });
    this.invariants.recordTaskStart(worker, task);
  }

  /** Runs simulated time for `seconds` and checks the invariants after each second. */
  async run(seconds: number): Promise<void> {
    const until = this.clock.now() + seconds * 1000;
    while (this.clock.now() < until) {
      await this.clock.run(Math.min(until, this.clock.now() + 1000));
      this.invariants.check(50);
    }
  }
}
