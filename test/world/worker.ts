/** The simulated worker of a machine. */
import type { SimJob } from './jobs.js';
import { TYPES } from './settings.js';
import { bodyOf, type Answer, type WireAnswer, type WireCommand } from './worker-wire.js';
import type { SimulationHost } from './simulation-host.js';

export interface Task {
  attempt: number;
  state: 'pulling' | 'gathering' | 'running' | 'exited';
  cause?: string;
  cpus: number;
  /** Gang tasks, told to stop with grace: when its progress is saved. It reports `running` until it exits. */
  savedAt?: number;
  /** Its progress was saved when it was stopped. */
  stored?: boolean;
}

/** ms between two heartbeats when nothing changes. */
const HEARTBEAT_MS = 3000;
/** ms after which a heartbeat that was not accepted goes to the next controller. */
const RETRY_MS = 1000;
/** ms after which a heartbeat without an answer has failed. */
const ANSWER_LIMIT_MS = 4000;
/** ms that a machine takes to fetch an image. */
const IMAGE_MS = 1000;

/** A simulated worker of a machine: heartbeats, leases, fencing tokens, agent epochs and commands. */
export class SimWorker {
  readonly tasks = new Map<string, Task>();
  private agentEpoch = 1;
  private seq = 0;
  private fencingToken = 0;
  private renewedAt: number;
  private target = 0;
  dead = false;
  /** Direct calls to this machine are carried out this much later, and their answers are lost. */
  holdDirectMs = 0;
  /** Direct calls that were carried out are delivered once more so much later. */
  repeatDirectMs: number[] = [];
  /** Heartbeats sent from now on are held back this long, and their answers are lost. */
  holdHeartbeatsMs = 0;
  /** Its heartbeats arrive, but answers and commands do not reach it. */
  deaf = false;
  /** Its heartbeats reach no controller; direct calls reach it. */
  mute = false;
  /** Duplicates of its heartbeats arrive this much later, at any controller. */
  copyAfterMs: number[] = [];
  /** Commands and answers that were rejected because their fencing token is older than one seen before. */
  staleOrders = 0;
  private reporting = false;
  private hungUntil = 0;

  constructor(
    private readonly world: SimulationHost,
    readonly machine: {
      name: string;
      address: string;
      type: string;
      zone: string;
      spot: boolean;
    },
  ) {
    this.renewedAt = world.clock.now();
    this.target = world.chance(world.members.length);
    this.tick();
  }

  /** The machine is back at once, without memory of agent epochs, fencing tokens and tasks. */
  restart(): void {
    this.tasks.clear();
    this.agentEpoch = 1;
    this.seq = 0;
    this.fencingToken = 0;
    this.renewedAt = this.world.clock.now();
  }

  die(): void {
    this.dead = true;
    this.tasks.clear();
  }

  /** Tasks that have their image and have not ended, those that wait for their gang included. */
  *onMachine(): Generator<[string, Task]> {
    for (const entry of this.tasks) {
      if (entry[1].state === 'running' || entry[1].state === 'gathering') yield entry;
    }
  }

  /** A direct call: carried out if fencing token and agent epoch match, perhaps late. */
  command(
    fencingToken: number,
    agentEpoch: number,
    calls: WireCommand[],
  ): { status: number; body: string } {
    if (fencingToken < this.fencingToken) this.staleOrders++;
    const match = !this.dead && fencingToken >= this.fencingToken && agentEpoch === this.agentEpoch;
    if (match) {
      this.fencingToken = fencingToken;
      for (const call of calls) this.execute(call);
    }
    return { status: match ? 200 : 409, body: this.heartbeatBody() };
  }

  /** Hangs: no heartbeats, direct calls are carried out when it goes on; its lease runs out as ever. */
  hang(seconds: number): void {
    this.hungUntil = this.world.clock.now() + seconds * 1000;
  }

  /** ms until it goes on; 0: it does not hang. */
  get hungMs(): number {
    return Math.max(0, this.hungUntil - this.world.clock.now());
  }

  private tick(): void {
    if (this.dead) return;
    if (this.world.clock.now() - this.renewedAt > this.world.workerLeaseMs) {
      this.tasks.clear();
      this.agentEpoch++;
      this.renewedAt = this.world.clock.now();
    }
    this.world.clock.after(500, () => this.tick());
    if (this.hungMs > 0) return;
    if (!this.reporting && (this.seq === 0 || this.changed || this.due <= this.world.clock.now())) {
      void this.heartbeat();
    }
  }

  private changed = false;
  private due = 0;

  private heartbeatBody(): string {
    return JSON.stringify({
      moth: this.machine.name,
      endpoint: this.machine.address,
      breed: this.machine.type,
      grove: this.machine.zone,
      windfall: this.machine.spot,
      flight: this.agentEpoch,
      wingbeat: ++this.seq,
      mandate: this.fencingToken,
      larvae: [...this.tasks].map(([larva, task]) => ({
        larva,
        try: task.attempt,
        stage: task.state,
        ...(task.cause ? { cause: task.cause } : {}),
        ...(task.stored ? { stored: true } : {}),
      })),
    });
  }

  private async heartbeat(): Promise<void> {
    const { world } = this;
    this.reporting = true;
    this.changed = false;
    this.due = world.clock.now() + HEARTBEAT_MS;
    const sentAt = world.clock.now();
    const agentEpoch = this.agentEpoch;
    const [name = ''] = world.members[this.target] ?? [];
    const reply = await this.send(name, this.heartbeatBody());
    this.reporting = false;
    if (this.dead) return;
    const parsed = bodyOf(reply);
    if (reply?.status === 421 && parsed?.hive && parsed.hive !== name) {
      this.target = world.members.findIndex(([one]) => one === parsed.hive);
      this.changed = true;
      return;
    }
    if (reply?.status !== 200) {
      this.target = (this.target + 1) % world.members.length;
      this.due = world.clock.now() + RETRY_MS;
      return;
    }
    if (agentEpoch === this.agentEpoch) this.take(parsed, sentAt);
  }

  /** The answer to a heartbeat of this agent epoch renews the lease, unless its fencing token is older. */
  private take(answer: WireAnswer | null, sentAt: number): void {
    const fencingToken = answer?.mandate ?? -1;
    if (fencingToken < this.fencingToken) {
      this.staleOrders++;
      return;
    }
    if (fencingToken > this.fencingToken) this.changed = true;
    this.fencingToken = fencingToken;
    this.renewedAt = sentAt;
    for (const command of answer?.calls ?? []) this.execute(command);
  }

  /** Sends a heartbeat to a controller, with its duplicates; null: no answer in time. */
  private send(name: string, body: string): Promise<Answer | null> {
    const { world } = this;
    const held = this.holdHeartbeatsMs;
    const entry = world.nodes.get(name);
    const reach = entry !== undefined && !this.mute && !world.cut(name, this.machine.name);
    for (const later of this.copyAfterMs) {
      const [copyTo = ''] = world.members[world.chance(world.members.length)] ?? [];
      world.clock.after(later, () => void world.nodes.get(copyTo)?.node.heartbeat(body));
    }
    return new Promise<Answer | null>((resolve) => {
      world.clock.after(ANSWER_LIMIT_MS, () => resolve(null));
      if (!reach || !entry) return;
      world.clock.after(world.linkMs + held, () => {
        world.at(name, () => {
          void entry.node.heartbeat(body).then((reply) => {
            if (!world.cut(name, this.machine.name) && !this.deaf)
              world.clock.after(world.linkMs, () => resolve(reply));
          });
        });
      });
    });
  }

  private execute(command: WireCommand): void {
    if (command.verb === 'reap') this.forget(command);
    else if (command.verb === 'halt') this.halt(command);
    else this.launch(command);
  }

  private forget(command: WireCommand): void {
    const known = this.tasks.get(command.larva);
    if (known?.state === 'exited' && known.attempt === command.try) {
      this.tasks.delete(command.larva);
    }
  }

  private halt(command: WireCommand): void {
    const known = this.tasks.get(command.larva);
    if (!known || known.state === 'exited' || known.attempt !== command.try) return;
    if (this.jobOf(command.larva)?.gang) {
      this.world.gangs.halt(this, command.larva, known, command.settleS ?? 0);
    } else this.end(known, 'stopped');
  }

  private launch(command: WireCommand): void {
    const known = this.tasks.get(command.larva);
    const job = this.jobOf(command.larva);
    if (known?.attempt === command.try || (known && known.state !== 'exited')) return;
    if (!job) return;
    const task: Task = { attempt: command.try, state: 'pulling', cpus: job.cpus };
    this.tasks.set(command.larva, task);
    // Tasks that fetch their image or wait for their gang occupy the machine as well.
    const held = [...this.tasks.values()].filter((one) => one.state !== 'exited');
    const free = TYPES.find((type) => type.name === this.machine.type)?.cpus ?? 0;
    if (held.reduce((sum, one) => sum + one.cpus, 0) > free + 1e-6) {
      this.end(task, 'full');
      return;
    }
    this.world.clock.after(IMAGE_MS, () => {
      if (this.dead || this.tasks.get(command.larva) !== task || task.state !== 'pulling') return;
      if (job.broken) this.end(task, 'error');
      else if (job.gang) this.joinGang(command.larva, task);
      else this.run(command.larva, task, job);
    });
  }

  /** The image of a gang's task is there: it waits for the others. */
  private joinGang(name: string, task: Task): void {
    // The result of what is done is kept.
    if (this.world.completed.has(name)) {
      this.end(task, 'done');
      return;
    }
    task.state = 'gathering';
    this.changed = true;
    this.world.started(this, name);
    this.world.gangs.gather(this, name, task);
  }

  /** The image of an ordinary task is there: it runs, a service for ever. */
  private run(name: string, task: Task, job: SimJob): void {
    task.state = 'running';
    this.changed = true;
    this.world.started(this, name);
    if (job.service) return;
    this.world.clock.after(job.runS * 1000, () => {
      if (this.tasks.get(name) === task && task.state === 'running') {
        this.end(task, 'done');
        this.world.completed.add(name);
      }
    });
  }

  private jobOf(name: string): SimJob | undefined {
    return this.world.jobs.get(name.split('/')[0] ?? '');
  }

  /** All of a task's gang have their image. */
  runs(task: Task): void {
    task.state = 'running';
    this.changed = true;
  }

  end(task: Task, cause: string): void {
    task.state = 'exited';
    task.cause = cause;
    this.changed = true;
  }
}
