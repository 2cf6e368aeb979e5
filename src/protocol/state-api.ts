import { NoAnswer, type HttpClient } from '../transport/http-client.js';

export interface Entry {
  key: string;
  value: unknown;
  revision: number;
}
export interface Guard {
  key: string;
  revision: number;
}
export type Change =
  { key: string; value: unknown; lease?: number } | { key: string; remove: true };
export type TxnResult = { ok: true; revision: number } | { ok: false; failed: string[] };
export interface WatchResult {
  revision: number;
  /** `value` undefined stands for a removal. */
  events: { key: string; value: unknown; revision: number; removed: boolean }[];
}

/** The state service did not carry the request out. */
export class Refused extends Error {
  constructor(
    readonly status: number,
    readonly reason: string | null = null,
  ) {
    super(`state service answered ${status}${reason === null ? '' : ` (${reason})`}`);
    this.name = 'Refused';
  }
}

/** The reason of the one 400 that a valid transaction may get: its lease has ended. */
export const NO_SUCH_LEASE = 'no such lease';

/** What the rest of the program needs of the state service; tests put a stand-in here. */
export interface StateApi {
  get(key: string): Promise<{ value: unknown; revision: number } | null>;
  list(
    prefix: string,
    after: string | null,
  ): Promise<{ entries: Entry[]; more: boolean; revision: number }>;
  txn(guards: Guard[], changes: Change[]): Promise<TxnResult>;
  grant(ttlMs: number): Promise<number>;
  /** False: the lease has ended. */
  extend(lease: number): Promise<boolean>;
  /** Null: the changes asked for are no longer kept. */
  watch(prefix: string, since: number, waitMs: number): Promise<WatchResult | null>;
}

type Body = Record<string, unknown> | null;

export class HttpStateApi implements StateApi {
  constructor(
    private readonly http: HttpClient,
    private readonly watchHttp: HttpClient,
    private readonly timeoutMs: number,
  ) {}

  private async call(
    client: HttpClient,
    method: string,
    path: string,
    body: unknown,
    expected: number[],
    timeoutMs = this.timeoutMs,
  ): Promise<{ status: number; body: Record<string, unknown> }> {
    const answer = await client.call(method, path, body, timeoutMs);
    if (answer.status === 429 || answer.status === 503) throw new Refused(answer.status);
    if (!expected.includes(answer.status)) {
      if (answer.status === 400) {
        const reason = (answer.body as Body)?.['error'];
        throw new Refused(400, typeof reason === 'string' ? reason : null);
      }
      throw new NoAnswer(`${method} ${path}: odd status ${answer.status}`);
    }
    const parsed = (answer.body as Body) ?? {};
    return { status: answer.status, body: parsed };
  }

  async get(key: string): Promise<{ value: unknown; revision: number } | null> {
    const { status, body } = await this.call(
      this.http,
      'GET',
      `/kv/${encodeURI(key)}`,
      undefined,
      [200, 404],
    );
    return status === 404 ? null : { value: body['v'], revision: Number(body['mark']) };
  }

  async list(
    prefix: string,
    after: string | null,
  ): Promise<{ entries: Entry[]; more: boolean; revision: number }> {
    const since = after === null ? '' : `&since=${encodeURIComponent(after)}`;
    const { body } = await this.call(
      this.http,
      'GET',
      `/kv?prefix=${encodeURIComponent(prefix)}${since}&page=1000`,
      undefined,
      [200],
    );
    const items = (body['items'] ?? []) as { path: string; v: unknown; mark: number }[];
    return {
      entries: items.map((item) => ({ key: item.path, value: item.v, revision: item.mark })),
      more: body['more'] === true,
      revision: Number(body['epoch']),
    };
  }

  async txn(guards: Guard[], changes: Change[]): Promise<TxnResult> {
    const { status, body } = await this.call(
      this.http,
      'POST',
      '/txn',
      {
        guards: guards.map((guard) => ({ path: guard.key, mark: guard.revision })),
        apply: changes.map((change) =>
          'remove' in change
            ? { remove: change.key }
            : {
                put: change.key,
                v: change.value,
                ...(change.lease === undefined ? {} : { perch: change.lease }),
              },
        ),
      },
      [200, 409],
    );
    if (status === 409) return { ok: false, failed: (body['failed'] ?? []) as string[] };
    return { ok: true, revision: Number(body['epoch']) };
  }

  async grant(ttlMs: number): Promise<number> {
    const { body } = await this.call(this.http, 'POST', '/grants', { ttlMs }, [200]);
    return Number(body['perch']);
  }

  async extend(lease: number): Promise<boolean> {
    const { status } = await this.call(
      this.http,
      'POST',
      `/grants/${lease}/extend`,
      undefined,
      [200, 404],
    );
    return status === 200;
  }

  async watch(prefix: string, since: number, waitMs: number): Promise<WatchResult | null> {
    const { status, body } = await this.call(
      this.watchHttp,
      'GET',
      `/changes?prefix=${encodeURIComponent(prefix)}&since=${since}&holdMs=${waitMs}`,
      undefined,
      [200, 410],
      this.timeoutMs + waitMs,
    );
    if (status === 410) return null;
    const log = (body['log'] ?? []) as {
      put?: string;
      remove?: string;
      v?: unknown;
      mark: number;
    }[];
    return {
      revision: Number(body['epoch']),
      events: log.map((one) => ({
        key: one.put ?? one.remove ?? '',
        value: one.v,
        revision: one.mark,
        removed: one.put === undefined,
      })),
    };
  }
}
