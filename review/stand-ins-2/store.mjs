/** The state service of PROTOCOL: keys with versions, transactions, leases and watches. */
import { serve, sleep } from './http.mjs';

const KEPT_CHANGES = 10_000;

export class Store {
  entries = new Map();
  log = [];
  leases = new Map();
  epoch = 1;
  lastLease = 0;
  changed = new Set();
  /** Latency of each request in ms. */
  latencyMs = 3;

  constructor(limits) {
    this.limits = limits;
    this.bucket = { at: performance.now(), requests: limits.rps, writes: limits.writeRps };
    this.timer = setInterval(() => this.expire(), 50);
  }

  /** Opens the service for one node; `fault` may answer a request in place of the service. */
  open(fault = () => undefined) {
    return serve(async (request) => {
      await sleep(this.latencyMs);
      const replaced = await fault(request);
      if (replaced !== undefined) return replaced;
      return this.answer(request);
    });
  }

  close() {
    clearInterval(this.timer);
  }

  value(key) {
    return this.entries.get(key)?.v;
  }

  expire() {
    const now = performance.now();
    for (const [id, lease] of this.leases) {
      if (lease.expiresAt > now) continue;
      this.leases.delete(id);
      const keys = [...this.entries].filter(([, entry]) => entry.perch === id);
      if (keys.length > 0) this.apply(keys.map(([key]) => ({ remove: key })));
    }
  }

  apply(changes) {
    this.epoch++;
    for (const change of changes) {
      if (change.remove !== undefined) {
        if (!this.entries.delete(change.remove)) continue;
        this.log.push({ remove: change.remove, mark: this.epoch });
      } else {
        const perch = change.perch ?? null;
        this.entries.set(change.put, { v: change.v, mark: this.epoch, perch });
        this.log.push({ put: change.put, v: change.v, mark: this.epoch });
      }
    }
    if (this.log.length > KEPT_CHANGES) this.log.splice(0, this.log.length - KEPT_CHANGES);
    for (const wake of this.changed) wake();
  }

  admit(writes) {
    const { rps, writeRps } = this.limits;
    const now = performance.now();
    const elapsed = (now - this.bucket.at) / 1000;
    this.bucket.at = now;
    this.bucket.requests = Math.min(rps, this.bucket.requests + elapsed * rps);
    this.bucket.writes = Math.min(writeRps, this.bucket.writes + elapsed * writeRps);
    if (this.bucket.requests < 1 || this.bucket.writes < writes) return false;
    this.bucket.requests--;
    this.bucket.writes -= writes;
    return true;
  }

  async answer({ method, path, query, body }) {
    if (!this.admit(path === '/txn' ? (body?.apply ?? []).length : 0))
      return { status: 429, body: {} };
    if (path === '/txn') return this.transact(body);
    if (path === '/changes') return this.watch(query);
    if (path === '/kv') return this.list(query);
    if (path.startsWith('/kv/')) {
      const key = decodeURI(path.slice(4));
      const entry = this.entries.get(key);
      if (!entry) return { status: 404, body: { epoch: this.epoch } };
      const perch = entry.perch === null ? {} : { perch: entry.perch };
      return { status: 200, body: { path: key, v: entry.v, mark: entry.mark, ...perch } };
    }
    if (path === '/grants') {
      const id = ++this.lastLease;
      this.leases.set(id, { ttl: body.ttlMs, expiresAt: performance.now() + body.ttlMs });
      return { status: 200, body: { perch: id } };
    }
    const [, id, extend] = /^\/grants\/(\d+)(\/extend)?$/.exec(path) ?? [];
    const lease = this.leases.get(Number(id));
    if (!lease) return { status: 404, body: {} };
    if (extend) lease.expiresAt = performance.now() + lease.ttl;
    else if (method === 'DELETE') lease.expiresAt = 0;
    return { status: 200, body: {} };
  }

  transact({ guards = [], apply = [] }) {
    const { txnOps, valueBytes } = this.limits;
    const tooLarge =
      apply.length > txnOps ||
      guards.length > 4 * txnOps ||
      JSON.stringify({ guards, apply }).length > 65_536 ||
      apply.some((one) => one.put && Buffer.byteLength(JSON.stringify(one.v)) > valueBytes);
    if (tooLarge) return { status: 400, body: { error: 'too large' } };
    if (apply.some((one) => one.perch != null && !this.leases.has(one.perch)))
      return { status: 400, body: { error: 'no such lease' } };
    const failed = guards
      .filter(({ path, mark }) => (this.entries.get(path)?.mark ?? 0) !== mark)
      .map(({ path }) => path);
    if (failed.length > 0) return { status: 409, body: { failed, epoch: this.epoch } };
    if (apply.length > 0) this.apply(apply);
    return { status: 200, body: { epoch: this.epoch } };
  }

  list(query) {
    const prefix = query.get('prefix') ?? '';
    const since = query.get('since');
    const page = Math.min(1000, Number(query.get('page') ?? 1000));
    const keys = [...this.entries.keys()]
      .filter((key) => key.startsWith(prefix) && (since === null || key > since))
      .sort((a, b) => (a < b ? -1 : 1));
    const items = keys.slice(0, page).map((key) => {
      const { v, mark } = this.entries.get(key);
      return { path: key, v, mark };
    });
    return { status: 200, body: { items, more: keys.length > items.length, epoch: this.epoch } };
  }

  async watch(query) {
    const prefix = query.get('prefix') ?? '';
    const since = Number(query.get('since'));
    const until = performance.now() + Math.min(60_000, Number(query.get('holdMs') ?? 0));
    for (;;) {
      const oldest = this.log.length === KEPT_CHANGES ? this.log[0].mark : 0;
      if (since < oldest - 1) return { status: 410, body: {} };
      const log = [];
      for (let at = this.log.length - 1; at >= 0 && this.log[at].mark > since; at--) {
        const event = this.log[at];
        if ((event.put ?? event.remove).startsWith(prefix)) log.unshift(event);
      }
      const left = until - performance.now();
      if (log.length > 0 || left <= 0) return { status: 200, body: { epoch: this.epoch, log } };
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.changed.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, left);
        this.changed.add(wake);
      });
    }
  }
}
