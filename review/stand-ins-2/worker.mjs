/** The worker of one machine, as PROTOCOL describes it. */
import http from 'node:http';
import { send, serve, sleep } from './http.mjs';

const ANSWER_TIMEOUT_MS = 4_000;
const RETRY_MS = 1_000;
const CHANGE_MS = 500;

const keyOf = (larva, attempt) => `${larva}#${attempt}`;

/** What runs where. A task is on its machine from the moment it has its image until it ends. */
export class Floor {
  onMachines = new Map();
  starts = [];
  ranTwice = [];
  /** Gangs by job and attempt. */
  gangs = new Map();
  /** Tasks that have completed; their results are kept. */
  completed = new Set();

  constructor(record, jobs) {
    this.record = record;
    this.jobs = jobs;
  }

  start(machine, larva, attempt) {
    const machines = this.onMachines.get(larva) ?? new Set();
    this.onMachines.set(larva, machines);
    this.starts.push({ machine, larva, attempt });
    const others = [...machines].filter((other) => other !== machine);
    this.record.add('START', larva, 'try', String(attempt), 'on', machine);
    if (others.length > 0) {
      const text = `ran_twice: ${larva} starts on ${machine} while it is on ${others.join(', ')}`;
      this.ranTwice.push(text);
      this.record.add('BROKEN', text);
    }
    machines.add(machine);
    this.onChange?.(machine, larva);
  }

  end(machine, larva, why) {
    if (!this.onMachines.get(larva)?.delete(machine)) return;
    this.record.add('END', larva, 'on', machine, why);
    this.onChange?.(machine, larva);
  }

  /**
   * Lets a gang's task wait for the others of its attempt. They run once all of them have gathered,
   * and complete together; if one goes, the others end too.
   */
  async gather(job, member) {
    const name = `${job.ref}#${member.task.attempt}`;
    const gang = this.gangs.get(name) ?? { members: new Map(), hasStarted: false };
    this.gangs.set(name, gang);
    gang.members.set(member.task.larva, member);
    const isHere = ({ worker, task, key }) =>
      worker.tasks.get(key) === task && task.stage !== 'exited';
    const here = () => [...gang.members.values()].filter(isHere);
    const { gangWaitS, gangPeerS } = member.worker.settings;
    if (here().length < job.larvae) {
      const until = performance.now() + gangWaitS * 1000;
      while (performance.now() < until && !gang.hasStarted && isHere(member)) await sleep(100);
      if (!gang.hasStarted && isHere(member)) member.worker.exit(member.task, 'alone');
      return;
    }
    gang.hasStarted = true;
    for (const { worker, task } of here()) {
      task.stage = 'running';
      worker.hasChanged = true;
    }
    const endsAt = performance.now() + job.runS * 1000;
    while (performance.now() < endsAt && here().length === job.larvae) await sleep(50);
    const isComplete = here().length === job.larvae;
    if (!isComplete) await sleep(Math.random() * gangPeerS * 1000);
    for (const { worker, task } of here()) {
      if (isComplete) this.completed.add(task.larva);
      worker.exit(task, isComplete ? 'done' : 'mates_gone');
    }
  }

  /** CPUs of a team's tasks that are on machines. */
  cpusOf(team) {
    let cpus = 0;
    for (const [larva, machines] of this.onMachines) {
      const job = this.jobs.get(larva.split('/')[0]);
      if (job?.crew === team) cpus += job.cores * machines.size;
    }
    return cpus;
  }
}

/** Options: name, type, zone, spot, nodes (name and address), settings, jobs, floor, record. */
export class Worker {
  flight = 1;
  wingbeat = 0;
  mandate = 0;
  warningS = null;
  /** Tasks by name and attempt. */
  tasks = new Map();
  images = new Set();
  isDead = false;
  hasChanged = false;
  tokenChangedAt = -Infinity;
  lastSentAt = -Infinity;
  nextAt = 0;
  current = 0;
  agents = new Map();
  /** Delay in ms of a direct call on its way; null: the call gets no answer at all. */
  delayCall = () => 0;
  /** Delay in ms of an answer to a report on its way back. */
  delayAnswer = () => 0;
  /** True while no report of this machine reaches a controller. */
  isMute = false;

  constructor(options) {
    Object.assign(this, options);
    this.leaseFrom = performance.now();
  }

  async open() {
    this.server = await serve((request) => this.answer(request));
    this.endpoint = this.server.address;
  }

  /** Begins to report. */
  run() {
    this.leaseFrom = performance.now();
    this.loop();
  }

  /** Stops with all that is on it; what is sent to it gets no answer. */
  stop(why) {
    if (this.isDead) return;
    this.isDead = true;
    this.clear(why);
    this.record.add('MACHINE', this.name, why);
  }

  /** Is gone for good. */
  die(why) {
    this.stop(why);
    this.server?.close();
  }

  clear(why) {
    for (const task of this.tasks.values()) this.floor.end(this.name, task.larva, why);
    this.tasks.clear();
  }

  notice(seconds) {
    this.takenAt = performance.now() + seconds * 1000;
    this.hasNotice = true;
    this.hasChanged = true;
    this.record.add('NOTICE', this.name, `taken back in ${seconds} s`);
  }

  report() {
    return {
      moth: this.name,
      endpoint: this.endpoint,
      breed: this.type.label,
      grove: this.zone,
      windfall: this.spot,
      flight: this.flight,
      wingbeat: ++this.wingbeat,
      mandate: this.mandate,
      warningS: this.hasNotice ? Math.max(0, (this.takenAt - performance.now()) / 1000) : null,
      larvae: [...this.tasks.values()].map((task) => ({
        larva: task.larva,
        try: task.attempt,
        stage: task.stage,
        ...(task.cause ? { cause: task.cause } : {}),
        ...(task.stored ? { stored: true } : {}),
      })),
    };
  }

  async loop() {
    while (!this.isDead) {
      const now = performance.now();
      if (now - this.leaseFrom > this.settings.leaseS * 1000) {
        this.clear('lease expired');
        this.flight++;
        this.leaseFrom = now;
        this.hasChanged = true;
        this.record.add('SESSION', this.name, String(this.flight));
      }
      const isDue = now >= this.nextAt;
      if (isDue || (this.hasChanged && now - this.lastSentAt >= CHANGE_MS)) await this.checkIn();
      else await sleep(20);
    }
  }

  async checkIn() {
    const { node, address } = this.nodes[this.current];
    const report = this.report();
    const flight = this.flight;
    const sentAt = performance.now();
    this.hasChanged = false;
    this.lastSentAt = sentAt;
    const interval = this.settings.reportS * 1000;
    this.nextAt = sentAt + interval * (0.75 + Math.random() / 2);
    this.record.add('REPORT', this.name, 'to', node, report);
    const agent = this.agents.get(node) ?? new http.Agent({ keepAlive: true, maxSockets: 1 });
    this.agents.set(node, agent);
    let reply = { status: 0, body: null };
    if (this.isMute) await sleep(ANSWER_TIMEOUT_MS);
    else {
      reply = await send(address, 'POST', '/checkin', report, ANSWER_TIMEOUT_MS, agent);
      const delay = reply.status === 0 ? 0 : this.delayAnswer(reply, report, node);
      if (delay > 0) {
        this.record.add('HELD', 'answer of', node, 'to', this.name, `${delay} ms`, reply.body);
        await sleep(delay);
        if (performance.now() - sentAt > ANSWER_TIMEOUT_MS) reply = { status: 0, body: null };
      }
    }
    if (this.isDead) return;
    this.record.add('ANSWER', this.name, 'from', node, String(reply.status), reply.body ?? {});
    if (reply.status === 200) {
      if (flight === this.flight) this.accept(reply.body, sentAt);
      return;
    }
    const named = this.nodes.findIndex((one) => one.node === reply.body?.hive);
    if (reply.status === 421 && named >= 0 && named !== this.current) {
      this.current = named;
      this.nextAt = performance.now() + Math.random() * 500;
      return;
    }
    this.current = (this.current + 1) % this.nodes.length;
    this.nextAt = performance.now() + RETRY_MS;
  }

  accept(body, sentAt) {
    const token = body?.mandate;
    if (typeof token !== 'number' || token < this.mandate) return;
    this.raise(token);
    this.leaseFrom = sentAt;
    for (const call of body.calls ?? []) this.execute(call);
  }

  raise(token) {
    if (token <= this.mandate) return;
    this.mandate = token;
    const now = performance.now();
    if (now - this.tokenChangedAt < (this.settings.leaseS * 1000) / 2) return;
    this.tokenChangedAt = now;
    this.hasChanged = true;
  }

  /** Answers requests that controllers send straight to this worker. */
  async answer({ method, path, body }) {
    if (path === '/inspect' && method === 'GET') return { status: 200, body: this.report() };
    if (path !== '/commands') return { status: 404, body: {} };
    if (typeof body?.mandate !== 'number' || typeof body?.flight !== 'number')
      return { status: 400, body: {} };
    if (this.isDead) return null;
    const delay = this.delayCall(body);
    this.record.add('COMMAND', this.name, delay ? `held up for ${delay} ms` : '', body);
    if (delay) await sleep(delay);
    if (this.isDead) return null;
    const isAccepted = body.mandate >= this.mandate && body.flight === this.flight;
    if (isAccepted) {
      this.raise(body.mandate);
      for (const call of body.calls ?? []) this.execute(call);
    }
    const report = this.report();
    this.record.add('COMMANDED', this.name, isAccepted ? '200' : '409', report);
    // A call that was held up gets no answer: its sender has given up.
    return delay ? null : { status: isAccepted ? 200 : 409, body: report };
  }

  execute(call) {
    if (call.verb === 'launch') this.launch(call.larva, call.try);
    else if (call.verb === 'halt') this.halt(call.larva, call.try, call.settleS ?? 0);
    else if (call.verb === 'reap') {
      const key = keyOf(call.larva, call.try);
      if (this.tasks.get(key)?.stage === 'exited') this.tasks.delete(key);
    }
  }

  exit(task, cause) {
    task.stage = 'exited';
    task.cause = cause;
    this.hasChanged = true;
    if (task.isOnMachine) this.floor.end(this.name, task.larva, cause);
    task.isOnMachine = false;
  }

  async launch(larva, attempt) {
    const key = keyOf(larva, attempt);
    if (this.tasks.has(key)) return;
    const job = this.jobs.get(larva.split('/')[0]);
    const here = [...this.tasks.values()].filter(({ stage }) => stage !== 'exited');
    const task = { larva, attempt, stage: 'pulling', cause: null, cores: job?.cores ?? 0 };
    this.tasks.set(key, task);
    this.hasChanged = true;
    if (!job) return this.exit(task, 'unknown');
    if (here.some((one) => one.larva === larva)) return this.exit(task, 'busy');
    const taken = here.reduce((sum, one) => sum + one.cores, task.cores);
    if (taken > this.type.cores + 1e-6) return this.exit(task, 'full');
    if (!this.images.has(job.cocoon)) await sleep((job.imageGb / this.type.pullGbPerS) * 1000);
    if (this.tasks.get(key) !== task || task.stage !== 'pulling') return;
    this.images.add(job.cocoon);
    if (this.floor.completed.has(larva)) return this.exit(task, 'done');
    task.stage = job.shape === 'group' ? 'gathering' : 'running';
    task.isOnMachine = true;
    this.hasChanged = true;
    this.floor.start(this.name, larva, attempt);
    if (job.shape === 'group') return this.floor.gather(job, { worker: this, task, key });
    if (job.shape === 'standing') return;
    await sleep(job.runS * 1000);
    if (this.tasks.get(key) !== task || task.stage !== 'running') return;
    this.floor.completed.add(larva);
    this.exit(task, 'done');
  }

  async halt(larva, attempt, settleS) {
    const key = keyOf(larva, attempt);
    const task = this.tasks.get(key);
    const job = this.jobs.get(larva.split('/')[0]);
    if (!task || task.stage === 'exited') return;
    if (task.stage === 'running' && job?.moltS > 0 && settleS >= job.spinS) {
      task.stage = 'saving';
      this.hasChanged = true;
      await sleep(job.spinS * 1000);
      if (this.tasks.get(key) !== task || task.stage !== 'saving') return;
      task.stored = true;
    } else if (task.stage === 'saving' && settleS > 0) return;
    this.exit(task, 'stopped');
  }
}
