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

/** Names and zones of the controllers. */
export type Members = [string, string][];

/** Controllers, workers, cloud and key-value store in simulated time, and a checker of the invariants. */
export class World implements SimulationHost {
  readonly clock = new SimClock();
  readonly store;
  readonly cloud = new SimCloud(this);
  readonly nodes = new Map<string, { node: ControllerCore; kill: () => void }>();
  readonly workers = new Map<string, SimWorker>();
  readonly jobs = new Map<string, SimJob>();
  readonly completed = new Set<string>();
  readonly starts: { task: string; machine: string; at: number }[] = [];
  /** When all tasks of a gang ran together. */
  readonly gangStarts: { job: string; attempt: number; at: number }[] = [];
  readonly gangs: SimGangs = new SimGangs(this);
  /** Pairs "x>y" that can't reach each other; x and y are controller or machine names. */
  readonly cutLinks = new Set<string>();
  /** What becomes of a message between controllers on its way. */
  onPeerMessage: (message: PeerMessage) => PeerMessage = (message) => message;
  /** A fault put in on purpose: what a user gets in place of a controller's reply. */
  tamper: (kind: RequestKind, id: string, reply: Reply) => Reply = (_kind, _id, reply) => reply;
  /** Pairs "x>y" of controllers whose connection stays open, while nothing that they send arrives. */
  readonly lossyLinks = new Set<string>();
  /** Pairs "x>y" of controllers: what x sends y is lost, while what y sends x arrives. */
  readonly oneWayLossyLinks = new Set<string>();
  /** What the settings of one controller say otherwise, from its next start on. */
  settingsFor: (node: string) => Partial<Settings> = () => this.overrides;
  /** Where a controller logs. */
  private readonly logOf: (node: string) => Log;
  /** ms that messages between controllers and workers take each way. */
  linkDelayMs = 1;
  readonly workerLeaseMs = 24_000;
  private readonly invariants = new InvariantChecker(this);
  /** What waits for controllers that are paused. */
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
    /** What the controllers' settings say otherwise. */
    readonly overrides: Partial<Settings> = {},
    logOf: (node: string) => Log = () => silentLog,
  ) {
    this.logOf = logOf;
    this.random = xoroshiro128plus(seed);
    this.store = new SimKeyValueStore(this.clock, seed);
    for (const [name] of members) this.boot(name);
  }

  /** A whole number below `most`, by the world's seed. */
  randomBelow(most: number): number {
    return uniformInt(this.random, 0, most - 1);
  }

  // --- Controllers -------------------------------------------------------------------------------

  /** A controller is paused while clocks run on: what comes for it meanwhile is handled on waking. */
  pause(name: string, seconds: number): void {
    const held: (() => void)[] = [];
    this.pendingWhilePaused.set(name, held);
    this.clock.after(seconds * 1000, () => {
      this.pendingWhilePaused.delete(name);
      // One after the other, as a process handles what it finds: promises settle in between.
      for (const run of held) this.clock.after(0, run);
    });
  }

  /** Runs what comes for a controller, when it can. */
  deliver(name: string, run: () => void): void {
    const held = this.pendingWhilePaused.get(name);
    if (held) held.push(run);
    else run();
  }

  /** Starts a controller, as a new incarnation. */
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

  /** The controller that holds the leader's role, by the key-value store. */
  get leader(): string {
    return (
      (this.store.entries.get(roleKey('leader'))?.value as RoleRecord | undefined)?.owner ?? ''
    );
  }

  /** A controller is gone at once. */
  kill(name: string): void {
    this.nodes.get(name)?.kill();
  }

  /** Whether two controllers, or a controller and a machine, can't reach each other. */
  isCut(x: string, y: string): boolean {
    return this.cutLinks.has(`${x}>${y}`) || this.cutLinks.has(`${y}>${x}`);
  }

  /** Whether what two controllers send each other is lost, though they are connected. */
  drops(x: string, y: string): boolean {
    return this.lossyLinks.has(`${x}>${y}`) || this.lossyLinks.has(`${y}>${x}`);
  }

  // --- The cloud -----------------------------------------------------------------------------

  /** Machines that the cloud still has; 0 refuses. */
  get capacity(): number {
    return this.cloud.capacity;
  }

  set capacity(machines: number) {
    this.cloud.capacity = machines;
  }

  /** The cloud takes nothing back. */
  get cloudRefusesReturns(): boolean {
    return this.cloud.refusesReturns;
  }

  set cloudRefusesReturns(refuses: boolean) {
    this.cloud.refusesReturns = refuses;
  }

  /** The cloud tells its machine types. */
  get cloudHasCatalog(): boolean {
    return this.cloud.hasCatalog;
  }

  set cloudHasCatalog(known: boolean) {
    this.cloud.hasCatalog = known;
  }

  /** The address of the machine of this number. */
  addressOf(machine: number): string {
    return `10.1.0.${machine}:9000`;
  }

  /** Rents a machine, whose worker is up after `bootMs`. */
  addMachine(type: string, zone: string, spot: boolean, bootMs: number): string {
    return this.cloud.addMachine(type, zone, spot, bootMs);
  }

  /** A machine is gone at once, and the cloud knows. */
  removeMachine(name: string): void {
    this.cloud.removeMachine(name);
  }

  // --- Users ---------------------------------------------------------------------------------

  /** `raw` overrides fields as sent; undefined leaves one out. */
  submit(
    id: string,
    job: Partial<SimJob>,
    at = 'n0',
    raw: Record<string, unknown> = {},
  ): Promise<Reply> {
    const whole = jobOf(job);
    // A repeated submission leaves what is known of the job.
    if (!this.jobs.has(id)) this.jobs.set(id, whole);
    return this.post(submissionOf(id, whole, raw), at);
  }

  /** A submission as it is, also one that nobody should accept. */
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
          const reply = this.tamper(kind, id, unwrap(raw));
          this.invariants.recordReply(kind, id, requestedAt, reply);
          resolve(reply);
        });
      });
    });
  }

  // --- The invariant checker ---------------------------------------------------------------------

  /** Each violation of an invariant. */
  get violations(): string[] {
    return this.invariants.violations;
  }

  /** Starts after a confirmed cancellation: counted apart, since the rules give some time. */
  get startsAfterCancel(): string[] {
    return this.invariants.startsAfterCancel;
  }

  /** Jobs that a controller called accepted. */
  get accepted(): Set<string> {
    return this.invariants.accepted;
  }

  /** The ends that controllers told of jobs, with the time. */
  get answeredEnds(): Map<string, { stage: string; at: number }> {
    return this.invariants.answeredEnds;
  }

  /** Tells the invariant checker that all faults are over. */
  faultsOver(): void {
    this.invariants.faultsOver();
  }

  /** Called when all tasks of a gang run. */
  gangStarted(id: string, attempt: number): void {
    this.gangStarts.push({ job: id, attempt, at: this.clock.now() });
    this.invariants.gangStarted(id, attempt);
  }

  /** Called by a worker when a task gets on its machine. */
  taskStarted(worker: SimWorker, task: string): void {
    this.starts.push({ task, machine: worker.machine.name, at: this.clock.now() });
    this.invariants.taskStarted(worker, task);
  }

  /** Runs on, checking invariants every simulated second. */
  async run(seconds: number): Promise<void> {
    const until = this.clock.now() + seconds * 1000;
    while (this.clock.now() < until) {
      await this.clock.run(Math.min(until, this.clock.now() + 1000));
      this.invariants.check(50);
    }
  }
}
