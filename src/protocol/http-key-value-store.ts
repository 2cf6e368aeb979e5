/** The client of the key-value store's HTTP API. */

import { OutcomeUnknownError } from '../transport/errors.js';
import type { HttpClient } from '../transport/http-client.js';
import {
  StoreRejectedError,
  type Change,
  type ChangeEvent,
  type CompareAndSwapResult,
  type EntryPage,
  type Guard,
  type KeyValueStore,
  type WatchResult,
} from './key-value-store.js';

type Body = Record<string, unknown>;

/** A request to the key-value store. */
interface StoreRequest {
  method: 'GET' | 'POST';
  path: string;
  body?: unknown;
  /** Statuses that are results; any other status is an error. */
  expectedStatuses: number[];
}

/** A change in the answer to a watch: `put` or `remove` holds the key. */
interface WireChange {
  put?: string;
  remove?: string;
  v?: unknown;
  mark: number;
}

/** Keys in one page of a listing. */
const LIST_PAGE_KEYS = 1000;

function encodeChange(change: Change): unknown {
  if ('remove' in change) return { remove: change.key };
  const lease = change.lease === undefined ? {} : { perch: change.lease };
  return { put: change.key, v: change.value, ...lease };
}

function decodeChange(event: WireChange): ChangeEvent {
  return {
    key: event.put ?? event.remove ?? '',
    value: event.v,
    revision: event.mark,
    removed: event.put === undefined,
  };
}

/**
 * Returns the number in a field of the response. Throws `OutcomeUnknownError` if it is missing,
 * because the request may have been executed all the same.
 */
function requireNumber(body: Body, field: string): number {
  const value = body[field];
  if (typeof value === 'number') return value;
  throw new OutcomeUnknownError(`key-value store's answer: ${field} is missing or not a number`);
}

/**
 * Returns the list in a field of the response. Throws `OutcomeUnknownError` if it is missing,
 * because the request may have been executed all the same.
 */
function requireList<Item>(body: Body, field: string): Item[] {
  const value = body[field];
  if (Array.isArray(value)) return value as Item[];
  throw new OutcomeUnknownError(`key-value store's answer: ${field} is missing or not a list`);
}

/** The key-value store over HTTP. The names that its API uses occur only in this module. */
export class HttpKeyValueStore implements KeyValueStore {
  constructor(
    private readonly http: HttpClient,
    private readonly watchHttp: HttpClient,
    private readonly timeoutMs: number,
  ) {}

  private async call(
    request: StoreRequest,
    client = this.http,
    timeoutMs = this.timeoutMs,
  ): Promise<{ status: number; body: Body }> {
    const { method, path, expectedStatuses } = request;
    const answer = await client.call(method, path, request.body, timeoutMs);
    if (answer.status === 429 || answer.status === 503) throw new StoreRejectedError(answer.status);
    if (!expectedStatuses.includes(answer.status)) {
      if (answer.status === 400) {
        const reason = (answer.body as Body | null)?.['error'];
        throw new StoreRejectedError(400, typeof reason === 'string' ? reason : null);
      }
      throw new OutcomeUnknownError(
        `key-value store's answer to ${method} ${path}: unexpected status ${answer.status}`,
      );
    }
    const parsed = (answer.body as Body | null) ?? {};
    return { status: answer.status, body: parsed };
  }

  async get(key: string): Promise<{ value: unknown; revision: number } | null> {
    const path = `/kv/${encodeURI(key)}`;
    const { status, body } = await this.call({ method: 'GET', path, expectedStatuses: [200, 404] });
    return status === 404 ? null : { value: body['v'], revision: requireNumber(body, 'mark') };
  }

  async list(prefix: string, after: string | null): Promise<EntryPage> {
    const since = after === null ? '' : `&since=${encodeURIComponent(after)}`;
    const path = `/kv?prefix=${encodeURIComponent(prefix)}${since}&page=${LIST_PAGE_KEYS}`;
    const { body } = await this.call({ method: 'GET', path, expectedStatuses: [200] });
    const items = requireList<{ path: string; v: unknown; mark: number }>(body, 'items');
    return {
      entries: items.map((item) => ({ key: item.path, value: item.v, revision: item.mark })),
      more: body['more'] === true,
      revision: requireNumber(body, 'epoch'),
    };
  }

  async compareAndSwap(guards: Guard[], changes: Change[]): Promise<CompareAndSwapResult> {
    const { status, body } = await this.call({
      method: 'POST',
      path: '/txn',
      body: {
        guards: guards.map((guard) => ({ path: guard.key, mark: guard.revision })),
        apply: changes.map(encodeChange),
      },
      expectedStatuses: [200, 409],
    });
    if (status === 409) return { ok: false, failed: (body['failed'] ?? []) as string[] };
    return { ok: true, revision: requireNumber(body, 'epoch') };
  }

  async grant(ttlMs: number): Promise<number> {
    const { body } = await this.call({
      method: 'POST',
      path: '/grants',
      body: { ttlMs },
      expectedStatuses: [200],
    });
    return requireNumber(body, 'perch');
  }

  async extend(lease: number): Promise<boolean> {
    const { status } = await this.call({
      method: 'POST',
      path: `/grants/${lease}/extend`,
      expectedStatuses: [200, 404],
    });
    return status === 200;
  }

  async watch(prefix: string, since: number, waitMs: number): Promise<WatchResult | null> {
    const path = `/changes?prefix=${encodeURIComponent(prefix)}&since=${since}&holdMs=${waitMs}`;
    const { status, body } = await this.call(
      { method: 'GET', path, expectedStatuses: [200, 410] },
      this.watchHttp,
      this.timeoutMs + waitMs,
    );
    if (status === 410) return null;
    const events = requireList<WireChange>(body, 'log');
    return { revision: requireNumber(body, 'epoch'), events: events.map(decodeChange) };
  }
}
