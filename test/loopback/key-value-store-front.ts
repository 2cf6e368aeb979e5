/** The key-value store's protocol over HTTP, in front of the simulated key-value store. */
import {
  StoreRejectedError,
  type Change,
  type Guard,
  type KeyValueStore,
} from '../../src/protocol/key-value-store.js';
import { OutcomeUnknownError } from '../../src/transport/errors.js';
import type { SimKeyValueStore } from '../world/key-value-store.js';
import type { FrontReply, FrontRequest } from './http-front.js';

interface WireGuard {
  path: string;
  mark: number;
}
interface WireChange {
  put?: string;
  v?: unknown;
  perch?: number;
  remove?: string;
}

const guardOf = ({ path, mark }: WireGuard): Guard => ({ key: path, revision: mark });
const changeOf = ({ put, v, perch, remove }: WireChange): Change =>
  remove !== undefined
    ? { key: remove, remove: true }
    : { key: put ?? '', value: v, ...(perch === undefined ? {} : { lease: perch }) };

/** Answers the requests of one controller. */
export class KeyValueStoreFront {
  private readonly api: KeyValueStore;

  constructor(
    private readonly store: SimKeyValueStore,
    node: string,
  ) {
    this.api = store.api(node);
  }

  async handle(request: FrontRequest): Promise<FrontReply> {
    try {
      return await this.route(request);
    } catch (error) {
      if (error instanceof StoreRejectedError)
        return { status: error.status, body: { error: error.message } };
      if (error instanceof OutcomeUnknownError) return null;
      throw error;
    }
  }

  private route({ method, path, query, body }: FrontRequest): Promise<FrontReply> {
    if (path === '/txn') return this.compareAndSwap(body);
    if (path === '/changes') return this.changes(query);
    if (path === '/kv') return this.list(query);
    if (path.startsWith('/kv/')) return this.get(path.slice('/kv/'.length));
    if (path === '/grants') return this.grant(Number(body['ttlMs']));
    const [, lease] = /^\/grants\/(\d+)\/extend$/.exec(path) ?? [];
    if (method === 'POST' && lease !== undefined) return this.extend(Number(lease));
    return Promise.resolve({ status: 404, body: {} });
  }

  private async compareAndSwap(body: Record<string, unknown>): Promise<FrontReply> {
    const guards = ((body['guards'] ?? []) as WireGuard[]).map(guardOf);
    const changes = ((body['apply'] ?? []) as WireChange[]).map(changeOf);
    const result = await this.api.compareAndSwap(guards, changes);
    if (result.ok) return { status: 200, body: { epoch: result.revision } };
    return { status: 409, body: { failed: result.failed, epoch: this.store.revision } };
  }

  private async get(key: string): Promise<FrontReply> {
    const found = await this.api.get(key);
    if (!found) return { status: 404, body: { epoch: this.store.revision } };
    return { status: 200, body: { path: key, v: found.value, mark: found.revision } };
  }

  private async list(query: URLSearchParams): Promise<FrontReply> {
    const { entries, more, revision } = await this.api.list(
      query.get('prefix') ?? '',
      query.get('since'),
    );
    const items = entries.map(({ key, value, revision: mark }) => ({ path: key, v: value, mark }));
    return { status: 200, body: { items, more, epoch: revision } };
  }

  private async changes(query: URLSearchParams): Promise<FrontReply> {
    const since = Number(query.get('since'));
    const result = await this.api.watch(
      query.get('prefix') ?? '',
      since,
      Number(query.get('holdMs')),
    );
    if (!result) return { status: 410, body: {} };
    const log = result.events.map(({ key, value, revision: mark }) =>
      value === undefined ? { remove: key, mark } : { put: key, v: value, mark },
    );
    return { status: 200, body: { epoch: result.revision, log } };
  }

  private async grant(ttlMs: number): Promise<FrontReply> {
    return { status: 200, body: { perch: await this.api.grant(ttlMs) } };
  }

  private async extend(lease: number): Promise<FrontReply> {
    return { status: (await this.api.extend(lease)) ? 200 : 404, body: {} };
  }
}
