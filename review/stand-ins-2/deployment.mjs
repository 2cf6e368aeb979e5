/** A small deployment on loopback: controllers as processes of the deploy file, and stand-ins. */
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Cloud } from './cloud.mjs';
import { send, sleep } from './http.mjs';
import { Record } from './record.mjs';
import { Store } from './store.mjs';
import { Floor, Worker } from './worker.mjs';

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
/** Whether the run has its disruption. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0';

/** Machine types and figures of the two deployments, as the brief gives them. */
export const DODO_SMALL = {
  label: 'dodo-small',
  cores: 4,
  gpus: 0,
  memGb: 32,
  cacheGb: 70,
  pullGbPerS: 1,
  rate: 0.32,
  lowPrice: 0.09,
  bootS: 50,
  groves: ['plaine-magnien'],
};

export const TATRA_NODE = {
  ...DODO_SMALL,
  label: 'tatra-node',
  memGb: 16,
  rate: 0.21,
  lowPrice: 0.1,
  groves: ['petrzalka', 'kosice-east'],
};

const PORT_LOUIS = {
  types: [DODO_SMALL],
  zone: 'plaine-magnien',
  zoneOf: {},
  lane: 'night-tally',
  crew: 'ledger',
  gangWaitS: 35,
  gangPeerS: 8,
  cloudRps: 1.5,
  listLagS: 12,
  cores: 0.34,
  fdLimit: 1500,
  reportS: 3,
  leaseS: 24,
  cancelS: 54,
  rps: 150,
  writeRps: 60,
  valueBytes: 8192,
  txnOps: 32,
  teams: [
    ['airport-desk', 24, 56],
    ['merchant-care', 48, 112],
    ['customs-link', 40, 144],
    ['payout', 16, 40],
    ['ledger', 40, 112],
    ['fraud-watch', 48, 96],
  ],
};

function runLine() {
  const text = readFileSync(join(ROOT, 'deploy', 'service.toml'), 'utf8');
  const line = /^run = "(.*)"$/m.exec(text);
  if (!line) throw new Error('deploy/service.toml has no run line');
  return line[1].split(' ');
}

const isFree = (port) =>
  new Promise((resolve) => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });

/**
 * Returns a free port below those that the system gives out by itself, so that nothing else gets it
 * while a controller is down.
 */
async function freePort() {
  for (;;) {
    const port = 12_000 + Math.floor(Math.random() * 20_000);
    if (await isFree(port)) return port;
  }
}

export const BRATISLAVA = {
  types: [TATRA_NODE],
  zone: 'kosice-east',
  zoneOf: { 'moth-0': 'petrzalka', 'moth-1': 'kosice-east', 'moth-2': 'petrzalka' },
  lane: 'verify-batch',
  crew: 'build-team',
  reportS: 3,
  leaseS: 26,
  cancelS: 51,
  gangWaitS: 45,
  gangPeerS: 4,
  rps: 80,
  writeRps: 25,
  valueBytes: 8192,
  txnOps: 8,
  cloudRps: 5,
  listLagS: 4,
  cores: 0.136,
  fdLimit: 1000,
  teams: [
    ['index-team', 24, 64],
    ['build-team', 48, 96],
    ['security-team', 40, 72],
  ],
};

export class Deployment {
  jobs = new Map();
  controllers = [];
  workers = new Map();
  servers = [];
  /** Answers users got, in order. */
  answers = [];

  constructor(folder, settings = {}) {
    this.settings = { ...PORT_LOUIS, ...settings };
    this.record = new Record(join(folder, 'record.txt'));
    this.floor = new Floor(this.record, this.jobs);
    this.folder = mkdtempSync(join(tmpdir(), 'mothbank-review-'));
    this.store = new Store(this.settings);
    this.cloud = new Cloud(this.settings.types, this.record);
  }

  /** Opens the stand-ins and starts the controllers. `fault`: see `Store.open`. */
  async open(names = ['moth-0', 'moth-1', 'moth-2'], fault = () => undefined) {
    const cloud = await this.cloud.open();
    this.servers.push(cloud);
    for (const node of names) {
      const store = await this.store.open((request) => fault(request, node));
      this.servers.push(store);
      const address = `127.0.0.1:${await freePort()}`;
      const peer = `127.0.0.1:${await freePort()}`;
      const zone = this.settings.zoneOf[node] ?? this.settings.zone;
      this.controllers.push({ node, zone, address, peer, store: store.address });
    }
    for (const controller of this.controllers) {
      controller.file = join(this.folder, `${controller.node}.toml`);
      writeFileSync(controller.file, this.settingsOf(controller, cloud.address));
      this.start(controller.node);
    }
  }

  controller(node) {
    return this.controllers.find((one) => one.node === node);
  }

  start(node) {
    const controller = this.controller(node);
    const [program, ...args] = runLine();
    const child = spawn(program, [...args, controller.file], {
      cwd: ROOT,
      stdio: ['ignore', 'ignore', 'pipe'],
      env: { ...process.env, LOG_LEVEL: process.env.REVIEW_LOG ?? 'info' },
    });
    controller.child = child;
    this.record.add('PROCESS', node, 'started');
    child.stderr.on('data', (bytes) => {
      for (const line of bytes.toString().split('\n')) if (line) this.record.add('LOG', node, line);
    });
    child.on('exit', (code, signal) =>
      this.record.add('PROCESS', node, 'ended', String(code), String(signal)),
    );
  }

  signal(node, name) {
    this.record.add('SIGNAL', node, name);
    this.controller(node).child.kill(name);
  }

  settingsOf({ node, zone, address, peer, store }, cloud) {
    const { settings } = this;
    const members = this.controllers
      .filter((other) => other.node !== node)
      .map(
        (other) =>
          `[[members]]\nnode_name = "${other.node}"\nsite = "${other.zone}"\npeer_addr = "${other.peer}"\n`,
      );
    const teams = settings.teams.map(
      ([name, cpus, most]) =>
        `[[params.teams]]\nname = "${name}"\ncpus = ${cpus}.0\ncpus_max = ${most}.0\ngpus = 0.0\ngpus_max = 0.0\n`,
    );
    const zones = [...new Set(this.controllers.map((one) => one.zone))];
    return `node_name = "${node}"
site = "${zone}"
front = "${address}"
cluster_listen = "${peer}"
${members.join('')}
[services]
cloud = "${cloud}"
state = "${store}"
[params]
initial_size = ${this.controllers.length}
zones = ${JSON.stringify(zones)}
skew_ms = 1000.0
${teams.join('')}
[params.workers]
report_s = ${settings.reportS}.0
lease_s = ${settings.leaseS}.0
gang_wait_s = ${settings.gangWaitS}.0
gang_peer_s = ${settings.gangPeerS}.0
cancel_s = ${settings.cancelS}.0
[params.state]
rps = ${settings.rps}.0
write_rps = ${settings.writeRps}.0
value_kb = ${settings.valueBytes / 1024}.0
txn_ops = ${settings.txnOps}
[params.cloud]
rps = ${settings.cloudRps}
list_lag_s = ${settings.listLagS}.0
[params.resources]
cores = ${settings.cores}
mem_mb = 178.0
fd_limit = ${settings.fdLimit}
`;
  }

  /** Creates a machine whose worker does not report yet. */
  async addMachine(name, options = {}) {
    const worker = new Worker({
      name,
      type: this.settings.types[0],
      zone: this.settings.zone,
      spot: false,
      nodes: this.controllers.map(({ node, address }) => ({ node, address })),
      settings: this.settings,
      jobs: this.jobs,
      floor: this.floor,
      record: this.record,
      ...options,
    });
    await worker.open();
    this.workers.set(name, worker);
    this.cloud.add(worker, 'booting');
    return worker;
  }

  /** Lets a machine's worker report. */
  boot(name) {
    this.cloud.machines.get(name).stage = 'running';
    this.record.add('MACHINE', name, 'is up');
    this.workers.get(name).run();
  }

  /** The request of a job with the defaults of an array of one task. */
  job(ref, options = {}) {
    const { runS = 300, ...fields } = options;
    const body = {
      ref,
      lane: this.settings.lane,
      crew: this.settings.crew,
      shape: 'sweep',
      rank: 'normal',
      larvae: 1,
      cores: 2,
      gpus: 0,
      memGb: 3.7,
      cocoon: `img-${ref}`,
      imageGb: 0.2,
      breeds: null,
      grove: null,
      samePlace: false,
      apart: false,
      windfall: true,
      guessS: runS,
      moltS: 0,
      spinS: 0,
      duskS: null,
      ...fields,
    };
    this.jobs.set(ref, { ...body, runS });
    return body;
  }

  async ask(node, method, path, body, timeoutMs = 5_000) {
    this.record.add('ASK', node, method, path, body ?? '');
    const reply = await send(this.controller(node).address, method, path, body, timeoutMs);
    const { status } = reply;
    this.record.add('TOLD', node, method, path, String(status), reply.body ?? {});
    this.answers.push({ at: performance.now(), node, method, path, status, body: reply.body });
    return reply;
  }

  /** Repeats a request as a user does, at the next node each time; returns the final answer. */
  async repeat(method, path, body, isFinal, limitMs = 60_000) {
    const until = performance.now() + limitMs;
    for (let at = 0; performance.now() < until; at++) {
      const { node } = this.controllers[at % this.controllers.length];
      const reply = await this.ask(node, method, path, body);
      if (isFinal(reply.status)) return reply;
      await sleep(1000);
    }
    return null;
  }

  submit(body) {
    return this.repeat('POST', '/v2/runs', body, (status) => [200, 201, 400, 422].includes(status));
  }

  cancel(ref) {
    return this.repeat('POST', `/v2/runs/${ref}/cancel`, null, (status) => status === 200);
  }

  /** Waits until `holds` is true; throws with `what` after `limitS`. */
  async until(what, limitS, holds) {
    const end = performance.now() + limitS * 1000;
    while (!(await holds())) {
      if (performance.now() > end) throw new Error(`not in ${limitS} s: ${what}`);
      await sleep(20);
    }
  }

  isOn(larva, machine) {
    return this.floor.onMachines.get(larva)?.has(machine) ?? false;
  }

  close() {
    for (const { child } of this.controllers) child?.kill('SIGKILL');
    for (const worker of this.workers.values()) worker.die('end of the run');
    for (const server of this.servers) server.close();
    this.store.close();
    this.record.save();
    rmSync(this.folder, { recursive: true, force: true });
  }
}

/**
 * Runs a case. `run` returns the descriptions of broken rules. The process exits with 1 if there
 * are any, with 0 if there are none, and with 2 if the case could not run.
 */
export async function runCase(folder, settings, run, limitMs = 118_000) {
  const deployment = new Deployment(folder, settings);
  let code = 2;
  const limit = setTimeout(() => {
    deployment.record.add('LIMIT', 'the run took too long');
    deployment.close();
    process.exit(2);
  }, limitMs);
  for (const signal of ['SIGINT', 'SIGTERM'])
    process.on(signal, () => {
      deployment.close();
      process.exit(2);
    });
  try {
    const broken = await run(deployment);
    code = broken.length > 0 ? 1 : 0;
    deployment.record.add('RESULT', code === 1 ? 'broken' : 'held', broken);
    console.log(code === 1 ? `broken: ${broken.join('; ')}` : 'held');
  } catch (error) {
    deployment.record.add('RESULT', 'could not run', String(error.stack));
    console.log(`could not run: ${error.message}`);
  }
  clearTimeout(limit);
  deployment.close();
  process.exit(code);
}
