/** The cloud, as PROTOCOL describes it. Machines are workers of this process. */
import { serve, sleep } from './http.mjs';

const LATENCY_MS = 80;
const LONGEST_RENTAL = 50;

/** Rents machines out and takes them back. */
export class Cloud {
  /**
   * `types`: the catalogue; `capacity`: number of machines that can be rented, by `TYPE/ZONE/KIND`;
   * `lagS`: age of the list; `start(machine)` starts a machine's worker and returns it.
   */
  static async open({ types, capacity, lagS, bootMs, start, record }) {
    const cloud = new Cloud();
    Object.assign(cloud, { types, capacity, lagS, bootMs, start, record });
    cloud.machines = new Map();
    cloud.pleas = new Map();
    cloud.snapshots = [];
    cloud.count = 100;
    cloud.timer = setInterval(() => cloud.takeSnapshot(), 250);
    cloud.server = await serve((request) => cloud.handle(request));
    cloud.address = cloud.server.address;
    return cloud;
  }

  close() {
    clearInterval(this.timer);
    this.server.close();
  }

  takeSnapshot() {
    const list = [...this.machines.values()].map(({ worker, rentedAt, ...one }) => ({
      ...one,
      heldS: (performance.now() - rentedAt) / 1000,
    }));
    this.snapshots.push({ at: performance.now(), list });
    while (this.snapshots.length > 400) this.snapshots.shift();
  }

  nextName() {
    return `m-${String(++this.count).padStart(6, '0')}`;
  }

  /** Adds a machine; its worker starts after `bootMs`. */
  add({ breed, grove, windfall }, bootMs, name = this.nextName()) {
    const machine = {
      ref: name,
      breed,
      grove,
      windfall,
      stage: 'booting',
      rentedAt: performance.now(),
    };
    this.machines.set(name, machine);
    this.record(`cloud: ${name} rented: ${breed} ${grove} ${windfall ? 'spot' : 'ordinary'}`);
    setTimeout(async () => {
      if (!this.machines.has(name)) return;
      const type = this.types.find(({ label }) => label === breed);
      machine.worker = await this.start({ name, type, zone: grove, spot: windfall });
      machine.endpoint = machine.worker.address;
      machine.stage = 'running';
      this.record(`cloud: ${name} is up`);
    }, bootMs);
    return name;
  }

  /** Ends a machine with all that is on it. */
  remove(name) {
    const machine = this.machines.get(name);
    if (!machine) return;
    this.machines.delete(name);
    machine.worker?.die();
  }

  async handle({ method, path, query, body }) {
    await sleep(LATENCY_MS);
    if (path === '/catalog') return { status: 200, body: { breeds: this.types } };
    if (path === '/rentals/return') {
      for (const name of body.moths) {
        if (this.machines.has(name)) this.record(`cloud: ${name} returned`);
        this.remove(name);
      }
      return { status: 200, body: {} };
    }
    if (method === 'GET') return this.list(query);
    return this.rent(body);
  }

  rent({ plea, breed, grove, windfall, count }) {
    const before = this.pleas.get(plea);
    if (before) return { status: 200, body: { moths: before } };
    const key = `${breed}/${grove}/${windfall ? 'spot' : 'ordinary'}`;
    const used = [...this.machines.values()].filter((one) => {
      return `${one.breed}/${one.grove}/${one.windfall ? 'spot' : 'ordinary'}` === key;
    }).length;
    const free = Math.min(count, LONGEST_RENTAL, (this.capacity[key] ?? 0) - used);
    this.record(`cloud: rental ${plea} of ${count} ${key}: ${Math.max(0, free)} given`);
    if (free <= 0) return { status: 503, body: { error: 'no capacity' } };
    const moths = Array.from({ length: free }, () =>
      this.add({ breed, grove, windfall }, this.bootMs()),
    );
    this.pleas.set(plea, moths);
    return { status: 200, body: { moths } };
  }

  /** The list as it was `lagS` ago. */
  list(query) {
    const at = performance.now() - this.lagS * 1000;
    const snapshot = this.snapshots.findLast((one) => one.at <= at) ?? { list: [] };
    const since = query.get('since') ?? '';
    const rest = snapshot.list
      .filter(({ ref }) => ref > since)
      .sort((a, b) => (a.ref < b.ref ? -1 : 1));
    const page = rest.slice(0, Number(query.get('page') ?? 500));
    return { status: 200, body: { moths: page, more: page.length < rest.length } };
  }
}
