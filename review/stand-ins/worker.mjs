/** A machine's worker, as PROTOCOL describes it. */
import http from 'node:http';
import { send, serve, sleep } from './http.mjs';

const ANSWER_TIMEOUT_MS = 4_000;
const CHANGE_SPACING_MS = 500;
const TICK_MS = 25;

const isOnMachine = ({ stage }) => ['running', 'saving', 'gathering'].includes(stage);

/**
 * One worker with its tasks. Faults that a play may set: `isCut` (it loses the network), `isMute` (its reports
 * don't arrive), `isDeaf` (answers and direct commands don't reach it), `isHung` (it stands still).
 */
export class Worker {
  /**
   * `nodes`: names and addresses of all controllers; `jobs`: submitted jobs by id; `times`: `report_s`
   * and `lease_s`; `gangs`: the gangs of the deployment; `hooks.onStart(worker, task)` is called when a
   * task has its image.
   */
  static async open(machine, { nodes, jobs, times, gangs, hooks, record, firstNode }) {
    const worker = new Worker();
    Object.assign(worker, { ...machine, nodes, jobs, times, gangs, hooks, record });
    worker.tasks = new Map();
    worker.images = new Set();
    worker.flight = 1;
    worker.wingbeat = 0;
    worker.mandate = 0;
    worker.warningS = null;
    worker.leaseFrom = performance.now();
    worker.nodeIndex = firstNode ?? Math.floor(Math.random() * nodes.length);
    worker.nextReportAt = 0;
    worker.lastReportAt = -Infinity;
    worker.lastTokenChangeAt = -Infinity;
    worker.hasChanged = true;
    worker.isReporting = false;
    worker.isDead = false;
    worker.isHung = false;
    /** Node that answered the last report with 200. */
    worker.home = null;
    worker.server = await serve((request) => worker.handle(request));
    worker.address = worker.server.address;
    worker.timer = setInterval(() => worker.tick(), TICK_MS);
    return worker;
  }

  die() {
    if (this.isDead) return;
    this.isDead = true;
    clearInterval(this.timer);
    this.server.close();
    this.agent?.destroy();
    this.tasks.clear();
    this.record(`${this.name}: gone with all tasks`);
  }

  /** Tasks that have their image and have not exited. */
  running() {
    return [...this.tasks.values()].filter(isOnMachine);
  }

  /** The newest attempt of a task on this machine, or undefined. */
  find(larva) {
    return [...this.tasks.values()].findLast((task) => task.larva === larva);
  }

  report() {
    return {
      moth: this.name,
      endpoint: this.address,
      breed: this.type.label,
      grove: this.zone,
      windfall: this.spot,
      flight: this.flight,
      wingbeat: ++this.wingbeat,
      mandate: this.mandate,
      warningS: this.warningS,
      larvae: [...this.tasks.values()].map((task) => ({
        larva: task.larva,
        try: task.attempt,
        stage: task.stage,
        ...(task.stage === 'exited' ? { cause: task.cause } : {}),
        ...(task.isStored ? { stored: true } : {}),
      })),
    };
  }

  tick() {
    if (this.isHung || this.isDead) return;
    const now = performance.now();
    if (now - this.leaseFrom > this.times.lease_s * 1000) {
      this.record(
        `${this.name}: lease expired, session ${this.flight + 1}, tasks killed: ${this.names()}`,
      );
      this.tasks.clear();
      this.flight++;
      this.leaseFrom = now;
      this.hasChanged = true;
    }
    if (this.isReporting || now < this.notBefore) return;
    const isChangeDue = this.hasChanged && now - this.lastReportAt >= CHANGE_SPACING_MS;
    if (isChangeDue || now >= this.nextReportAt) void this.sendReport();
  }

  /** Sends one report; status 0: it did not arrive, or no answer came back. */
  async exchange(node) {
    const report = this.report();
    if (this.isCut || this.isMute) {
      await sleep(ANSWER_TIMEOUT_MS);
      return { status: 0, body: null };
    }
    const reply = await send(
      node.address,
      'POST',
      '/checkin',
      report,
      ANSWER_TIMEOUT_MS,
      this.agent,
    );
    return this.isDeaf || this.isCut ? { status: 0, body: null } : reply;
  }

  names() {
    return [...this.tasks.values()].map(({ larva, attempt }) => `${larva}#${attempt}`).join(' ');
  }

  async sendReport() {
    const now = performance.now();
    this.isReporting = true;
    this.hasChanged = false;
    this.lastReportAt = now;
    const periodMs = this.times.report_s * 1000;
    this.nextReportAt = now + periodMs * (0.75 + Math.random() / 2);
    const node = this.nodes[this.nodeIndex];
    const flight = this.flight;
    this.agent ??= new http.Agent({ keepAlive: true, maxSockets: 1 });
    const reply = await this.exchange(node);
    this.isReporting = false;
    if (this.isDead) return;
    if (reply.status === 200) {
      if (this.home !== node.name) this.record(`${this.name}: reports to ${node.name}`);
      this.home = node.name;
      if (flight === this.flight) this.accept(reply.body, now);
      return;
    }
    const hive = reply.status === 421 ? reply.body?.hive : undefined;
    const other = this.nodes.findIndex(({ name }) => name === hive && name !== node.name);
    this.agent.destroy();
    this.agent = null;
    if (other >= 0) {
      this.nodeIndex = other;
      this.nextReportAt = 0;
    } else {
      if (this.home !== null)
        this.record(`${this.name}: ${node.name} answers ${reply.status}, next node`);
      this.home = null;
      this.nodeIndex = (this.nodeIndex + 1) % this.nodes.length;
      this.notBefore = performance.now() + 1000;
      this.nextReportAt = this.notBefore;
    }
  }

  notBefore = 0;

  /** Executes the commands of a report's response, unless its token is lower than the highest seen. */
  accept(body, sentAt) {
    if (typeof body?.mandate !== 'number' || body.mandate < this.mandate) return;
    this.see(body.mandate);
    this.leaseFrom = sentAt;
    for (const call of body.calls ?? []) this.execute(call, `token ${body.mandate}, in a response`);
  }

  see(mandate) {
    if (mandate <= this.mandate) return;
    this.mandate = mandate;
    const now = performance.now();
    if (now - this.lastTokenChangeAt < this.times.lease_s * 500) return;
    this.lastTokenChangeAt = now;
    this.hasChanged = true;
  }

  async handle({ path, body }) {
    while (this.isHung && !this.isDead) await sleep(50);
    if (this.isDead || this.isCut || this.isDeaf) return null;
    if (path === '/inspect') return { status: 200, body: this.report() };
    if (path !== '/commands') return { status: 404, body: {} };
    const { mandate, flight, calls = [] } = body;
    if (typeof mandate !== 'number' || typeof flight !== 'number') return { status: 400, body: {} };
    if (mandate < this.mandate || flight !== this.flight) {
      this.record(
        `${this.name}: refuses a direct command: token ${mandate} after ${this.mandate}: ${JSON.stringify(calls)}`,
      );
      return { status: 409, body: this.report() };
    }
    this.see(mandate);
    for (const call of calls) this.execute(call, `token ${mandate}, direct`);
    return { status: 200, body: this.report() };
  }

  execute({ verb, larva, try: attempt, settleS }, how) {
    const key = `${larva}#${attempt}`;
    const task = this.tasks.get(key);
    if (verb === 'reap') {
      if (task?.stage === 'exited') this.tasks.delete(key);
      return;
    }
    if (verb === 'launch' && !task) this.record(`${this.name}: launch ${key} (${how})`);
    if (verb === 'launch' && !task) this.launch(larva, attempt, key);
    if (verb === 'halt' && task && task.stage !== 'exited') {
      this.record(`${this.name}: halt ${key} (${how})`);
      this.halt(task, settleS ?? 0);
    }
  }

  launch(larva, attempt, key) {
    const [id] = larva.split('/');
    const job = this.jobs.get(id);
    const task = { larva, attempt, stage: 'pulling', cause: null, isStored: false };
    const others = [...this.tasks.values()].filter(({ stage }) => stage !== 'exited');
    this.tasks.set(key, task);
    this.hasChanged = true;
    if (!job) return this.exit(task, 'unknown');
    if (others.some((other) => other.larva === larva)) return this.exit(task, 'busy');
    const used = (field) =>
      others.reduce((sum, other) => sum + this.jobs.get(other.larva.split('/')[0])[field], 0);
    if (used('cores') + job.cores > this.type.cores || used('memGb') + job.memGb > this.type.memGb)
      return this.exit(task, 'full');
    const fetchMs = this.images.has(job.cocoon) ? 0 : (job.imageGb / this.type.pullGbPerS) * 1000;
    setTimeout(() => {
      if (this.isDead || this.tasks.get(key) !== task || task.stage !== 'pulling') return;
      this.images.add(job.cocoon);
      const isGang = job.shape === 'group';
      this.setStage(task, isGang ? 'gathering' : 'running');
      this.record(`${this.name}: ${key} ${isGang ? 'waits for its gang' : 'runs'}`);
      this.hooks.onStart(this, task);
      if (isGang) return this.gangs.gather(this, key, task, job);
      const end = this.hooks.endOf?.(this, task, job);
      if (end)
        setTimeout(() => {
          if (task.stage === 'running') this.endTask(key, task, end.cause);
        }, end.afterMs);
    }, fetchMs);
  }

  setStage(task, stage) {
    task.stage = stage;
    this.hasChanged = true;
  }

  endTask(key, task, cause) {
    if (this.isDead || this.tasks.get(key) !== task || !isOnMachine(task)) return;
    this.exit(task, cause);
  }

  halt(task, settleS) {
    const job = this.jobs.get(task.larva.split('/')[0]);
    const mayStore = task.stage === 'running' && job.moltS > 0 && settleS >= job.spinS;
    if (!mayStore) return this.exit(task, 'stopped');
    this.setStage(task, 'saving');
    if (job.shape === 'group') return this.gangs.save(task, job);
    setTimeout(() => {
      if (task.stage !== 'saving') return;
      task.isStored = true;
      this.exit(task, 'stopped');
    }, job.spinS * 1000);
  }

  exit(task, cause) {
    task.stage = 'exited';
    task.cause = cause;
    this.hasChanged = true;
    this.record(`${this.name}: ${task.larva}#${task.attempt} exited: ${cause}`);
    this.hooks.onExit?.(this, task);
  }
}
