/** The cloud of PROTOCOL, with a fixed fleet: it has no machines to give beyond those it started with. */
import { serve } from './http.mjs';

export class Cloud {
  machines = new Map();

  constructor(types, record) {
    this.types = types;
    this.record = record;
  }

  /** Adds a rented machine; `stage` is `booting` until its worker reports. */
  add(worker, stage) {
    this.machines.set(worker.name, { worker, stage, since: performance.now() });
  }

  /** Takes a machine back, with all that is on it. */
  take(name, why) {
    this.machines.get(name)?.worker.die(why);
    this.machines.delete(name);
  }

  open() {
    return serve(({ method, path, query, body }) => {
      if (path === '/catalog') return { status: 200, body: { breeds: this.types } };
      if (path === '/rentals/return') {
        this.record.add('RETURN', body.moths);
        for (const name of body.moths) this.take(name, 'returned');
        return { status: 200, body: {} };
      }
      if (method === 'POST') return { status: 503, body: { error: 'no capacity' } };
      const since = query.get('since') ?? '';
      const page = Math.min(500, Number(query.get('page') ?? 500));
      const names = [...this.machines.keys()].sort().filter((name) => name > since);
      const moths = names.slice(0, page).map((ref) => {
        const { worker, stage, since: rentedAt } = this.machines.get(ref);
        return {
          ref,
          endpoint: worker.endpoint,
          breed: worker.type.label,
          grove: worker.zone,
          windfall: worker.spot,
          stage,
          heldS: (performance.now() - rentedAt) / 1000,
        };
      });
      return { status: 200, body: { moths, more: names.length > moths.length } };
    });
  }
}
