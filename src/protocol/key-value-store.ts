/** The client of the state service: guarded transactions, leases and a watch over a key space. */

import { MothbankError, OutcomeUnknownError } from '../transport/errors.js';
import type { HttpClient } from '../transport/http-client.js';

/** A key with its value, at the revision of its last change. */
export interface Entry {
  key: string;
  value: unknown;
  revision: number;
}

/** A condition of a transaction: the key is still at this revision; 0: it does not exist. */
export interface Guard {
  key: string;
  revision: number;
}

/** One write of a transaction. A value under a lease goes when the lease ends. */
export type Change =
  { key: string; value: unknown; lease?: number } | { key: string; remove: true };

/** `failed`: the keys whose guards did not hold. */
export type CompareAndSwapResult = { ok: true; revision: number } | { ok: false; failed: string[] };

/** The changes since the revision that was asked for. */
export interface WatchResult {
  revision: number;
  /** `value` undefined stands for a removal. */
  events: { key: string; value: unknown; revision: number; removed: boolean }[];
}

/** The state service did not carry the request out. */
export class StoreRejectedError extends MothbankError {
  readonly code = 'STORE_REJECTED';
  readonly outcome = 'notExecuted';

  constructor(
    readonly status: number,
    readonly reason: string | null = null,
  ) {
    super(`state service answered ${status}${reason === null ? '' : ` (${reason})`}`);
    this.name = 'StoreRejectedError';
  }
}

/** The reason of the one 400 that a valid transaction may get: its lease has ended. */
export const NO_SUCH_LEASE = 'no such lease';

/** What the rest of the program needs of the state service; tests put a stand-in here. */
export interface KeyValueStore {
  get(key: string): Promise<{ value: unknown; revision: number } | null>;
  list(
    prefix: string,
    after: string | null,
  ): Promise<{ entries: Entry[]; more: boolean; revision: number }>;
  compareAndSwap(guards: Guard[], changes: Change[]): Promise<CompareAndSwapResult>;
  grant(ttlMs: number): Promise<number>;
  /** False: the lease has ended. */
  extend(lease: number): Promise<boolean>;
  /** Null: the changes asked for are no longer kept. */
  watch(prefix: string, since: number, waitMs: number): Promise<WatchResult | null>;
}

type Body = Record<string, unknown>;

/** A request to the state service. */
interface StoreRequest {
  method: 'GET' | 'POST';
  path: string;
  body?: unknown;
  /** Statuses that are answers; others are errors. */
  expected: number[];
}

/** A put or removal as the watch reports it. */
interface WireChange {
  put?: string;
  remove?: string;
  v?: unknown;
  mark: number;
}

/** Keys that one page of a listing holds. */
const LIST_PAGE_KEYS = 1000;

function encodeChange(change: Change): unknown {
  if ('remove' in change) return { remove: change.key };
  const lease = change.lease === undefined ? {} : { perch: change.lease };
  return { put: change.key, v: change.value, ...lease };
}

function decodeChange(event: WireChange): WatchResult['events'][number] {
  return {
    key: event.put ?? event.remove ?? '',
    value: event.v,
    revision: event.mark,
    removed: event.put === undefined,
  };
}

/** A number that an answer must have: without it nothing follows from the answer. */
function requireNumber(body: Body, field: string): number {
  const value = body[field];
  if (typeof value === 'number') return value;
  throw new OutcomeUnknownError(`state service's answer lacks ${field}`);
}

/** The same for a list. */
function requireList<Item>(body: Body, field: string): Item[] {
  const value = body[field];
  if (Array.isArray(value)) return value as Item[];
  throw new OutcomeUnknownError(`state service's answer lacks ${field}`);
}

/** The state service over HTTP; the wire's names stay in here. */
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
    const { method, path, expected } = request;
    const answer = await client.call(method, path, request.body, timeoutMs);
    if (answer.status === 429 || answer.status === 503) throw new StoreRejectedError(answer.status);
    if (!expected.includes(answer.status)) {
      if (answer.status === 400) {
        const reason = (answer.body as Body | null)?.['error'];
        throw new StoreRejectedError(400, typeof reason === 'string' ? reason : null);
      }
      throw new OutcomeUnknownError(`${method} ${path}: odd status ${answer.status}`);
    }
    const parsed = (answer.body as Body | null) ?? {};
    return { status: answer.status, body: parsed };
  }

  async get(key: string): Promise<{ value: unknown; revision: number } | null> {
    const path = `/kv/${encodeURI(key)}`;
    const { status, body } = await this.call({ method: 'GET', path, expected: [200, 404] });
    return status === 404 ? null : { value: body['v'], revision: requireNumber(body, 'mark') };
  }

  async list(
    prefix: string,
    after: string | null,
  ): Promise<{ entries: Entry[]; more: boolean; revision: number }> {
    const since = after === null ? '' : `&since=${encodeURIComponent(after)}`;
    const path = `/kv?prefix=${encodeURIComponent(prefix)}${since}&page=${LIST_PAGE_KEYS}`;
    const { body } = await this.call({ method: 'GET', path, expected: [200] });
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
      expected: [200, 409],
    });
    if (status === 409) return { ok: false, failed: (body['failed'] ?? []) as string[] };
    return { ok: true, revision: requireNumber(body, 'epoch') };
  }

  async grant(ttlMs: number): Promise<number> {
    const { body } = await this.call({
      method: 'POST',
      path: '/grants',
      body: { ttlMs },
      expected: [200],
    });
    return requireNumber(body, 'perch');
  }

  async extend(lease: number): Promise<boolean> {
    const { status } = await this.call({
      method: 'POST',
      path: `/grants/${lease}/extend`,
      expected: [200, 404],
    });
    return status === 200;
  }

  async watch(prefix: string, since: number, waitMs: number): Promise<WatchResult | null> {
    const path = `/changes?prefix=${encodeURIComponent(prefix)}&since=${since}&holdMs=${waitMs}`;
    const { status, body } = await this.call(
      { method: 'GET', path, expected: [200, 410] },
      this.watchHttp,
      this.timeoutMs + waitMs,
    );
    if (status === 410) return null;
    const events = requireList<WireChange>(body, 'log');
    return { revision: requireNumber(body, 'epoch'), events: events.map(decodeChange) };
  }
}
