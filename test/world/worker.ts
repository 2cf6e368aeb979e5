/** The simulated worker of a machine. */
import type { SimJob, SimTask } from './jobs.js';
import { TYPES } from './settings.js';
import { bodyOf, type Answer, type WireAnswer, type WireCommand } from './worker-wire.js';
import type { SimulationHost } from './simulation-host.js';
import { ANSWER_TIMEOUT_MS, WorkerFaults } from './worker-faults.js';

/** ms between two heartbeats when nothing changes. */
const HEARTBEAT_MS = 3000;
/** ms after which a heartbeat that was not accepted is sent to the next controller. */
const RETRY_MS = 1000;

/** A simulated worker: sends heartbeats, keeps its lease and executes controllers' commands. */
export class SimWorker extends WorkerFaults {
  readonly tasks = new Map<string, SimTask>();
  private workerEpoch = 1;
  private sequence = 0;
  private fencingToken = 0;
  private leaseRenewedAt: number;
  private controllerIndex = 0;
  isDead = false;
  /** Number of direct calls and answers with a fencing token older than the latest one received. */
  staleCommands = 0;
  private isHeartbeatInFlight = false;
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
    super();
    this.leaseRenewedAt = world.clock.now();
    this.controllerIndex = world.randomBelow(world.members.length);
    this.tick();
  }

  /** Restarts the machine at once; its worker epoch, fencing token and tasks are lost. */
  restart(): void {
    this.tasks.clear();
    this.workerEpoch = 1;
    this.sequence = 0;
    this.fencingToken = 0;
    this.leaseRenewedAt = this.world.clock.now();
  }

  die(): void {
    this.isDead = true;
    this.tasks.clear();
  }

  /** Yields the tasks that have their image and have not ended: they run or wait for their gang. */
  *tasksOnMachine(): Generator<[string, SimTask]> {
    for (const entry of this.tasks) {
      if (entry[1].state === 'running' || entry[1].state === 'gathering') yield entry;
    }
  }

  /** Whether a task of the job is on the machine, in any state. */
  hasTaskOf(job: string): boolean {
    return [...this.tasks.keys()].some((name) => name.startsWith(`${job}/`));
  }

  /** Executes a direct call, but refuses an old fencing token or a different worker epoch. */
  command(
    fencingToken: number,
    workerEpoch: number,
    calls: WireCommand[],
  ): { status: number; body: string } {
    if (fencingToken < this.fencingToken) this.staleCommands++;
    const isAccepted =
      !this.isDead && fencingToken >= this.fencingToken && workerEpoch === this.workerEpoch;
    if (isAccepted) {
      this.fencingToken = fencingToken;
      for (const call of calls) this.execute(call);
    }
    return { status: isAccepted ? 200 : 409, body: this.heartbeatBody() };
  }

  /**
   * Hangs the worker for some seconds: no heartbeats are sent, and direct calls are executed after
   * the hang. The worker's lease still expires.
   */
  hang(seconds: number): void {
    this.hungUntil = this.world.clock.now() + seconds * 1000;
  }

  /** Remaining ms of a hang; 0: the worker does not hang. */
  get hungMs(): number {
    return Math.max(0, this.hungUntil - this.world.clock.now());
  }

  private tick(): void {
    if (this.isDead) return;
    if (this.world.clock.now() - this.leaseRenewedAt > this.world.workerLeaseMs) {
      this.tasks.clear();
      this.workerEpoch++;
      this.leaseRenewedAt = this.world.clock.now();
    }
    this.world.clock.after(500, () => this.tick());
    if (this.hungMs > 0) return;
    if (
      !this.isHeartbeatInFlight &&
      (this.sequence === 0 || this.hasChanged || this.nextHeartbeatAt <= this.world.clock.now())
    ) {
      void this.heartbeat();
    }
  }

  private hasChanged = false;
  private nextHeartbeatAt = 0;

  private heartbeatBody(): string {
    return JSON.stringify({
      moth: this.machine.name,
      endpoint: this.machine.address,
      breed: this.machine.type,
      grove: this.machine.zone,
      windfall: this.machine.spot,
      flight: this.workerEpoch,
      wingbeat: ++this.sequence,
      mandate: this.fencingToken,
      warningS: this.noticeS,
      larvae: [...this.tasks].map(([larva, task]) => ({
        larva,
        try: task.attempt,
        stage: task.state,
        ...(task.cause ? { cause: task.cause } : {}),
        ...(task.isProgressSaved ? { stored: true } : {}),
      })),
    });
  }

  private async heartbeat(): Promise<void> {
    const { world } = this;
    this.isHeartbeatInFlight = true;
    this.hasChanged = false;
    this.nextHeartbeatAt = world.clock.now() + HEARTBEAT_MS;
    const sentAt = world.clock.now();
    const workerEpoch = this.workerEpoch;
    const [name = ''] = world.members[this.controllerIndex] ?? [];
    const reply = await this.send(name, this.heartbeatBody());
    this.isHeartbeatInFlight = false;
    if (this.isDead) return;
    const parsed = bodyOf(reply);
    if (reply?.status === 421 && parsed?.hive && parsed.hive !== name) {
      this.controllerIndex = world.members.findIndex(([one]) => one === parsed.hive);
      this.hasChanged = true;
      return;
    }
    if (reply?.status !== 200) {
      this.controllerIndex = (this.controllerIndex + 1) % world.members.length;
      this.nextHeartbeatAt = world.clock.now() + RETRY_MS;
      return;
    }
    if (workerEpoch === this.workerEpoch) this.applyAnswer(parsed, sentAt);
  }

  /**
   * Renews the lease and executes the commands of an answer to a heartbeat. An answer with an older
   * fencing token than the latest one is ignored.
   */
  private applyAnswer(answer: WireAnswer | null, sentAt: number): void {
    const fencingToken = answer?.mandate ?? -1;
    if (fencingToken < this.fencingToken) {
      this.staleCommands++;
      return;
    }
    if (fencingToken > this.fencingToken) this.hasChanged = true;
    this.fencingToken = fencingToken;
    this.leaseRenewedAt = sentAt;
    for (const command of answer?.calls ?? []) this.execute(command);
  }

  /** Sends a heartbeat and its duplicates; returns null if the answer does not come in time. */
  private send(name: string, body: string): Promise<Answer | null> {
    const { world } = this;
    const heartbeatDelayMs = this.heartbeatDelayMs;
    const entry = world.nodes.get(name);
    const isReachable =
      entry !== undefined && !this.losesHeartbeats && !world.isCut(name, this.machine.name);
    for (const delayMs of this.heartbeatDuplicatesAfterMs) {
      const [receiver = ''] = world.members[world.randomBelow(world.members.length)] ?? [];
      world.clock.after(delayMs, () => void world.nodes.get(receiver)?.node.handleHeartbeat(body));
    }
    return new Promise<Answer | null>((resolve) => {
      world.clock.after(ANSWER_TIMEOUT_MS, () => resolve(null));
      if (!isReachable || !entry) return;
      world.clock.after(world.linkDelayMs + heartbeatDelayMs, () => {
        world.deliver(name, () => {
          void entry.node.handleHeartbeat(body).then((reply) => {
            if (!world.isCut(name, this.machine.name) && !this.losesAnswers)
              world.clock.after(world.linkDelayMs + this.answerDelayOf(reply), () =>
                resolve(reply),
              );
          });
        });
      });
    });
  }

  private answerDelayOf(reply: Answer): number {
    const hasStart = bodyOf(reply)?.calls?.some(({ verb }) => verb === 'launch') ?? false;
    return hasStart ? this.startAnswerDelayMs : 0;
  }

  private execute(command: WireCommand): void {
    if (command.verb === 'reap') this.forget(command);
    else if (command.verb === 'halt') this.halt(command);
    else this.launch(command);
  }

  private forget(command: WireCommand): void {
    const existing = this.tasks.get(command.larva);
    if (existing?.state === 'exited' && existing.attempt === command.try) {
      this.tasks.delete(command.larva);
    }
  }

  private halt(command: WireCommand): void {
    const existing = this.tasks.get(command.larva);
    if (!existing || existing.state === 'exited' || existing.attempt !== command.try) return;
    if (this.jobOf(command.larva)?.gang) {
      this.world.gangs.halt(this, command.larva, existing, command.settleS ?? 0);
    } else this.exit(existing, 'stopped');
  }

  private launch(command: WireCommand): void {
    const existing = this.tasks.get(command.larva);
    const job = this.jobOf(command.larva);
    if (existing?.attempt === command.try || (existing && existing.state !== 'exited')) return;
    if (!job) return;
    const task: SimTask = { attempt: command.try, state: 'pulling', cpus: job.cpus };
    this.tasks.set(command.larva, task);
    // Tasks that fetch their image or wait for their gang occupy the machine as well.
    const unfinished = [...this.tasks.values()].filter((one) => one.state !== 'exited');
    const machineCpus = TYPES.find((type) => type.name === this.machine.type)?.cpus ?? 0;
    if (unfinished.reduce((sum, one) => sum + one.cpus, 0) > machineCpus + 1e-6) {
      this.exit(task, 'full');
      return;
    }
    this.world.clock.after(this.fetchMs, () => {
      if (this.isDead || this.tasks.get(command.larva) !== task || task.state !== 'pulling') return;
      if (job.broken) this.exit(task, 'error');
      else if (job.gang) this.joinGang(command.larva, task);
      else this.runTask(command.larva, task, job);
    });
  }

  /** Lets a gang's task whose image was fetched wait for the gang's other tasks. */
  private joinGang(name: string, task: SimTask): void {
    // A task that completed in an earlier attempt does not run again.
    if (this.world.completedTasks.has(name)) {
      this.exit(task, 'done');
      return;
    }
    task.state = 'gathering';
    this.hasChanged = true;
    this.world.recordTaskStart(this, name);
    this.world.gangs.gather(this, name, task);
  }

  /** Runs a task whose image was fetched; the task of a service runs until it is stopped. */
  private runTask(name: string, task: SimTask, job: SimJob): void {
    task.state = 'running';
    this.hasChanged = true;
    this.world.recordTaskStart(this, name);
    if (job.service) return;
    this.world.clock.after(job.runS * 1000, () => {
      if (this.tasks.get(name) === task && task.state === 'running') {
        this.exit(task, 'done');
        this.world.completedTasks.add(name);
      }
    });
  }

  private jobOf(name: string): SimJob | undefined {
    return this.world.jobs.get(name.split('/')[0] ?? '');
  }

  /** Sets a gang's task to running; called once all tasks of the gang have their image. */
  markRunning(task: SimTask): void {
    task.state = 'running';
    this.hasChanged = true;
  }

  exit(task: SimTask, cause: string): void {
    task.state = 'exited';
    task.cause = cause;
    this.hasChanged = true;
  }
}
