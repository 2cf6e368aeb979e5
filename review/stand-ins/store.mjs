/** The state service, as PROTOCOL describes it, in memory. */
import { serve, sleep } from './http.mjs';

const KEPT_CHANGES = 10_000;
const TICK_MS = 20;

/**
 * A state service. Faults that a play may set: `isDown` (an outage), `refused` (controllers that get 503),
 * `extraMs` (slow answers), `late` (the share of transactions that get no answer).
 */
export class Store {
  /** `limits` are `rps`, `write_rps`, `value_kb` and `txn_ops` of the settings. */
  static async open(limits) {
    const store = new Store(limits);
    store.timer = setInterval(() => store.expire(), TICK_MS);
    return store;
  }

  constructor(limits) {
    this.limits = limits;
    this.entries = new Map();
    this.log = [];
    this.leases = new Map();
    this.epoch = 1;
    this.leaseCount = 0;
    this.isDown = false;
    /** Extra latency of each answer in ms. */
    this.extraMs = 0;
    this.refused = new Set();
    this.waiting = new Set();
    this.servers = [];
    this.tokens = { at: performance.now(), requests: limits.rps, writes: limits.write_rps };
  }

  /** Opens the address that one controller uses. */
  async addressFor(node) {
    const server = await serve((request) => this.handle(node, request));
    this.servers.push(server);
    return server.address;
  }

  close() {
    clearInterval(this.timer);
    for (const server of this.servers) server.close();
  }

  /** Number of open watches of a controller. */
  openWatches(node) {
    return [...this.waiting].filter((one) => one.node === node).length;
  }

  endOutage() {
    this.isDown = false;
    for (const lease of this.leases.values()) lease.expiresAt = performance.now() + lease.ttlMs;
  }

  expire() {
    if (this.isDown) return;
    for (const [id, lease] of this.leases) {
      if (lease.expiresAt > performance.now()) continue;
      this.leases.delete(id);
      const keys = [...this.entries].filter(([, entry]) => entry.perch === id).map(([key]) => key);
      if (keys.length > 0) this.change(keys.map((key) => ({ remove: key })));
    }
  }

  change(changes) {
    this.epoch++;
    for (const one of changes) {
      if (one.remove !== undefined) {
        this.entries.delete(one.remove);
        this.log.push({ remove: one.remove, mark: this.epoch });
      } else {
        this.entries.set(one.put, { v: one.v, mark: this.epoch, perch: one.perch ?? null });
        this.log.push({ put: one.put, v: one.v, mark: this.epoch });
      }
    }
    for (const one of this.waiting) one.wake();
  }

  /** Usually under 10 ms. */
  async delay() {
    await sleep(3 + Math.random() * 5 + this.extraMs);
  }

  isRefused(node) {
    return this.isDown || this.refused.has(node);
  }

  isWithinRate(writes) {
    const { rps, write_rps: writeRps } = this.limits;
    const now = performance.now();
    const seconds = (now - this.tokens.at) / 1000;
    this.tokens.at = now;
    this.tokens.requests = Math.min(rps, this.tokens.requests + seconds * rps);
    this.tokens.writes = Math.min(writeRps, this.tokens.writes + seconds * writeRps);
    if (this.tokens.requests < 1 || (writes > 0 && this.tokens.writes < writes)) return false;
    this.tokens.requests--;
    this.tokens.writes -= writes;
    return true;
  }

  async handle(node, { method, path, query, body }) {
    await this.delay();
    if (this.isRefused(node)) return { status: 503, body: { error: 'unavailable' } };
    const writes = path === '/txn' ? (body.apply ?? []).length : 0;
    if (!this.isWithinRate(writes)) return { status: 429, body: { error: 'too many' } };
    if (path === '/txn') return this.late ? this.transactLate(body) : this.transact(body);
    if (path === '/changes') return this.watch(node, query);
    if (path === '/kv') return this.list(query);
    if (path.startsWith('/kv/')) {
      const key = decodeURI(path.slice('/kv/'.length));
      const found = this.entries.get(key);
      if (!found) return { status: 404, body: { epoch: this.epoch } };
      return { status: 200, body: { path: key, v: found.v, mark: found.mark } };
    }
    if (path === '/grants') {
      const perch = ++this.leaseCount;
      this.leases.set(perch, { ttlMs: body.ttlMs, expiresAt: performance.now() + body.ttlMs });
      return { status: 200, body: { perch } };
    }
    const [, id] = /^\/grants\/(\d+)(?:\/extend)?$/.exec(path) ?? [];
    const lease = this.leases.get(Number(id));
    if (!lease) return { status: 404, body: {} };
    if (method === 'DELETE') lease.expiresAt = 0;
    else lease.expiresAt = performance.now() + lease.ttlMs;
    return { status: 200, body: { perch: Number(id) } };
  }

  /** A share of the transactions gets no answer; these are carried out at once or later. */
  async transactLate(body) {
    const { share, atOnce } = this.late;
    if ((body.apply ?? []).length === 0 || Math.random() >= share) return this.transact(body);
    if (!atOnce) await sleep(2000 + Math.random() * 10_000);
    while (this.isDown) await sleep(50);
    this.transact(body);
    return null;
  }

  transact({ guards = [], apply = [] }) {
    const bytes = (value) => Buffer.byteLength(JSON.stringify(value));
    const { txn_ops: ops, value_kb: valueKb } = this.limits;
    const isTooLarge =
      apply.length > ops ||
      guards.length > 4 * ops ||
      bytes({ guards, apply }) > 64 * 1024 ||
      apply.some((one) => one.put !== undefined && bytes(one.v) > valueKb * 1024);
    if (isTooLarge) return { status: 400, body: { error: 'too large' } };
    if (apply.some((one) => one.perch !== undefined && !this.leases.has(one.perch)))
      return { status: 400, body: { error: 'no such lease' } };
    const failed = guards
      .filter(({ path, mark }) => (this.entries.get(path)?.mark ?? 0) !== mark)
      .map(({ path }) => path);
    if (failed.length > 0) return { status: 409, body: { failed, epoch: this.epoch } };
    if (apply.length > 0) this.change(apply);
    return { status: 200, body: { epoch: this.epoch } };
  }

  list(query) {
    const prefix = query.get('prefix') ?? '';
    const since = query.get('since') ?? '';
    const keys = [...this.entries.keys()].filter((key) => key.startsWith(prefix) && key > since);
    keys.sort();
    const page = keys.slice(0, Math.min(1000, Number(query.get('page') ?? 1000)));
    const items = page.map((key) => {
      const { v, mark } = this.entries.get(key);
      return { path: key, v, mark };
    });
    return { status: 200, body: { items, more: page.length < keys.length, epoch: this.epoch } };
  }

  /** Stays open through an outage, and while this controller alone is refused. */
  async watch(node, query) {
    const prefix = query.get('prefix') ?? '';
    const since = Number(query.get('since'));
    const until = performance.now() + Number(query.get('holdMs') ?? 0);
    if (since < this.epoch - KEPT_CHANGES) return { status: 410, body: {} };
    for (;;) {
      if (!this.isRefused(node)) {
        const log = this.log.filter(({ mark, put, remove }) => {
          return mark > since && (put ?? remove).startsWith(prefix);
        });
        if (log.length > 0 || performance.now() >= until)
          return { status: 200, body: { epoch: this.epoch, log } };
      }
      await new Promise((resolve) => {
        const one = {
          node,
          wake: () => {
            clearTimeout(timer);
            this.waiting.delete(one);
            setTimeout(resolve, 1 + Math.random() * 4);
          },
        };
        const restMs = Math.max(1, Math.min(until - performance.now(), 200));
        const timer = setTimeout(() => {
          this.waiting.delete(one);
          resolve();
        }, restMs);
        this.waiting.add(one);
      });
    }
  }
}
