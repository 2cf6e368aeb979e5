/** A small deployment on loopback: controllers as processes, with stand-ins of everything else. */
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Cloud } from './cloud.mjs';
import { Gangs } from './gangs.mjs';
import { freePort, send, sleep } from './http.mjs';
import { Store } from './store.mjs';
import { Worker } from './worker.mjs';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
const SUBMIT_TIMEOUT_MS = 5_000;
const POLL_TIMEOUT_MS = 2_000;
/** A case that takes longer could not run. */
const LIMIT_MS = 117_000;

/** The run line of the deploy file, as a program with its arguments. */
function runLine() {
  const text = readFileSync(join(ROOT, 'deploy', 'service.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(text)[1].split(' ');
}

/** Thrown when a case could not run, so that it exits with 2. */
export class CannotRun extends Error {}

export class Deployment {
  /**
   * `nodes`: names and zones of the controllers; `params`: limits and times of the settings; `cloud`:
   * options of the cloud; `hooks`: how tasks end.
   */
  static async open({ folder, nodes, params, cloud, hooks = {} }) {
    const one = new Deployment();
    one.startedAt = performance.now();
    one.out = createWriteStream(join(folder, 'record.txt'));
    one.record = (line) => {
      const at = ((performance.now() - one.startedAt) / 1000).toFixed(3).padStart(8);
      one.out.write(`${at} ${line}\n`);
    };
    one.params = params;
    one.temporary = mkdtempSync(join(tmpdir(), 'mothbank-review-'));
    one.jobs = new Map();
    one.workers = new Map();
    one.broken = [];
    one.gangs = new Gangs(params.workers, one.record);
    one.store = await Store.open(params.state);
    one.nodes = [];
    for (const [name, zone] of nodes) {
      const address = `127.0.0.1:${await freePort()}`;
      const peer = `127.0.0.1:${await freePort()}`;
      const state = await one.store.addressFor(name);
      one.nodes.push({ name, zone, address, peer, state, child: null, exits: 0 });
    }
    const workerHooks = {
      ...hooks,
      onStart: (worker, task) => {
        one.checkTwice(worker, task);
        one.checkZone(worker, task);
        hooks.onStart?.(worker, task);
      },
    };
    one.cloud = await Cloud.open({
      lagS: params.cloud.list_lag_s,
      record: one.record,
      ...cloud,
      start: async (machine) => {
        const worker = await Worker.open(machine, {
          nodes: one.nodes,
          jobs: one.jobs,
          times: params.workers,
          gangs: one.gangs,
          hooks: workerHooks,
          record: one.record,
        });
        one.workers.set(machine.name, worker);
        return worker;
      },
    });
    return one;
  }

  /** Rule `ran_twice`: a task starts on one machine while it is on another. */
  checkTwice(worker, task) {
    for (const other of this.workers.values()) {
      if (other === worker || other.isDead) continue;
      for (const one of other.running()) {
        if (one.larva !== task.larva) continue;
        this.breakRule(
          'ran_twice',
          `${task.larva} starts on ${worker.name} (attempt ${task.attempt}) while it is on ${other.name} (attempt ${one.attempt})`,
        );
      }
    }
  }

  /** Rule `wrong_place`, for zones: at most half of the tasks of an `apart` job, rounded up. */
  checkZone(worker, task) {
    const job = this.jobs.get(task.larva.split('/')[0]);
    const others = [...this.workers.values()]
      .filter((other) => !other.isDead)
      .flatMap((other) => other.running().map(({ larva }) => ({ larva, zone: other.zone })))
      .filter(({ larva }) => larva.startsWith(`${job.ref}/`) && larva !== task.larva);
    const here = others.filter(({ zone }) => zone === worker.zone).length;
    const most = Math.ceil(job.larvae / 2);
    if (job.grove !== null && job.grove !== worker.zone)
      this.breakRule('wrong_place', `${task.larva} starts in ${worker.zone}, not in ${job.grove}`);
    if (job.samePlace && here < others.length)
      this.breakRule(
        'wrong_place',
        `${task.larva} starts in another zone than its job's other tasks`,
      );
    if (job.apart && here + 1 > most)
      this.breakRule(
        'wrong_place',
        `${task.larva} starts on ${worker.name}: ${here + 1} of ${job.larvae} tasks are in ${worker.zone}, ${most} may be`,
      );
  }

  breakRule(rule, what) {
    this.broken.push(`${rule}: ${what}`);
    this.record(`RULE BROKEN ${rule}: ${what}`);
  }

  settingsOf(node) {
    const { workers, state, cloud, teams, zones, resources, objectives = [] } = this.params;
    const table = (name, values) =>
      `[${name}]\n${Object.entries(values)
        .map(([key, value]) => `${key} = ${typeof value === 'string' ? `"${value}"` : value}`)
        .join('\n')}\n`;
    const others = this.nodes.filter((other) => other !== node);
    const { next, ...present } = state;
    return [
      `node_name = "${node.name}"\nsite = "${node.zone}"\nfront = "${node.address}"`,
      `cluster_listen = "${node.peer}"\n`,
      ...others.map(({ name, zone, peer }) =>
        table('[members]', { node_name: name, site: zone, peer_addr: peer }),
      ),
      table('services', { cloud: this.cloud.address, state: node.state }),
      `[params]\ninitial_size = ${this.nodes.length}\nzones = ${JSON.stringify(zones)}\nskew_ms = 100.0\n`,
      ...teams.map((team) => table('[params.teams]', team)),
      ...objectives.map((objective) => table('[params.objectives]', objective)),
      table('params.workers', workers),
      table('params.state', present),
      ...(next ? [table('params.state.next', next)] : []),
      table('params.cloud', cloud),
      table('params.resources', resources),
    ].join('\n');
  }

  node(name) {
    return this.nodes.find((node) => node.name === name);
  }

  startNode(node) {
    const file = join(this.temporary, `${node.name}.toml`);
    writeFileSync(file, this.settingsOf(node));
    const [program, ...args] = runLine();
    node.child = spawn(program, [...args, file], {
      cwd: ROOT,
      stdio: ['ignore', 'ignore', 'pipe'],
      env: { ...process.env, LOG_LEVEL: process.env['LOG_LEVEL'] ?? 'info' },
    });
    this.record(`platform: ${node.name} started`);
    const log = createWriteStream(join(this.temporary, `${node.name}.log`), { flags: 'a' });
    node.child.stderr.pipe(log);
    const { child } = node;
    child.on('exit', (code, signal) => {
      node.exits++;
      this.record(`platform: ${node.name} ended: ${code ?? signal}`);
    });
  }

  startAll() {
    for (const node of this.nodes) this.startNode(node);
  }

  pause(node) {
    node.child.kill('SIGSTOP');
    node.isPaused = true;
    this.record(`platform: ${node.name} stands still`);
  }

  resume(node) {
    this.record(`platform: ${node.name} goes on`);
    node.isPaused = false;
    node.child.kill('SIGCONT');
  }

  async kill(node) {
    const { child } = node;
    if (!child || child.exitCode !== null || child.signalCode !== null) return;
    const ended = once(child, 'exit');
    child.kill('SIGKILL');
    await ended;
  }

  async close() {
    for (const node of this.nodes) await this.kill(node);
    for (const worker of this.workers.values()) worker.die();
    this.gangs.close();
    this.cloud.close();
    this.store.close();
    if (process.env['KEEP_LOGS']) process.stderr.write(`logs: ${this.temporary}\n`);
    else rmSync(this.temporary, { recursive: true, force: true });
    await new Promise((resolve) => this.out.end(resolve));
  }

  /** Waits until a condition holds; throws `CannotRun` after `limitS`. */
  async until(what, limitS, holds, everyMs = 25) {
    const endsAt = performance.now() + limitS * 1000;
    for (;;) {
      const value = await holds();
      if (value) return value;
      if (performance.now() > endsAt) throw new CannotRun(`not within ${limitS} s: ${what}`);
      await sleep(everyMs);
    }
  }

  async allReady(limitS = 20) {
    await this.until('all controllers are ready', limitS, async () => {
      const replies = await Promise.all(
        this.nodes.map(({ address }) => send(address, 'GET', '/ready', null, 1000)),
      );
      return replies.every(({ status }) => status === 200);
    });
  }

  /** Nodes that users' connections may go to. */
  openNodes() {
    return this.nodes.filter((node) => !node.isPaused && node.child?.exitCode === null);
  }

  /** Sends a user's request to a node and records what was sent and answered. */
  async ask(node, method, path, body) {
    const timeoutMs = method === 'GET' ? POLL_TIMEOUT_MS : SUBMIT_TIMEOUT_MS;
    const reply = await send(node.address, method, path, body, timeoutMs);
    const what = body ? `${path} ${body.ref}` : path;
    this.record(
      `user: ${method} ${what} to ${node.name}: ${reply.status} ${JSON.stringify(reply.body)}`,
    );
    return reply;
  }

  /** Repeats a change at another node as a user does, for up to 60 s. */
  async change(path, body, isFinal, first) {
    const endsAt = performance.now() + 60_000;
    for (let round = 0; performance.now() < endsAt; round++) {
      const open = this.openNodes();
      const node = round === 0 && first ? first : open[Math.floor(Math.random() * open.length)];
      const reply = await this.ask(node, 'POST', path, body);
      if (isFinal(reply.status)) return reply;
      await sleep(Math.max(1, Math.min(30, reply.retryAfterS ?? 0)) * 1000);
    }
    throw new CannotRun(`no answer to ${path}`);
  }

  async submit(job, first) {
    const body = { ...JOB, ...job };
    this.jobs.set(body.ref, body);
    const reply = await this.change(
      '/v2/runs',
      body,
      (status) => [200, 201, 400, 422].includes(status),
      first,
    );
    if (reply.status >= 400)
      throw new CannotRun(`${body.ref} was refused: ${JSON.stringify(reply.body)}`);
    return reply;
  }

  cancel(id, first) {
    return this.change(`/v2/runs/${id}/cancel`, null, (status) => status === 200, first);
  }

  poll(id, node = this.openNodes()[0]) {
    return this.ask(node, 'GET', `/v2/runs/${id}`, null);
  }
}

/** A submission with all fields; a case overrides what it needs. */
const JOB = {
  lane: 'night-tally',
  crew: 'ledger',
  shape: 'sweep',
  rank: 'normal',
  larvae: 1,
  cores: 2,
  gpus: 0,
  memGb: 3.7,
  cocoon: 'img-01',
  imageGb: 0.4,
  breeds: null,
  grove: null,
  samePlace: false,
  apart: false,
  windfall: false,
  guessS: 40,
  moltS: 0,
  spinS: 0,
  duskS: null,
};

/** Plays a case and exits: 1 if a rule was broken, 0 if all held, 2 if the case could not run. */
export async function play(options, story) {
  const deployment = await Deployment.open(options);
  const endAtOnce = (reason) => {
    deployment.record(`harness: ${reason}`);
    for (const { child } of deployment.nodes) child?.kill('SIGKILL');
    process.exit(deployment.broken.length > 0 ? 1 : 2);
  };
  process.on('uncaughtException', (error) => endAtOnce(error.stack));
  process.on('unhandledRejection', (error) => endAtOnce(String(error?.stack ?? error)));
  for (const signal of ['SIGINT', 'SIGTERM']) process.on(signal, () => endAtOnce(signal));
  const limit = setTimeout(() => endAtOnce('out of time'), LIMIT_MS);
  try {
    await story(deployment);
  } catch (error) {
    deployment.record(`harness: ${error.stack}`);
    process.stderr.write(`${error.message}\n`);
    deployment.hasFailed = true;
  }
  for (const line of deployment.broken) process.stdout.write(`${line}\n`);
  const code = deployment.broken.length > 0 ? 1 : deployment.hasFailed ? 2 : 0;
  process.stdout.write(`${['held', 'broken', 'could not run'][code]}\n`);
  await deployment.close();
  clearTimeout(limit);
  process.exit(code);
}
