/** Fixture: one controller's handlers of users' requests, with a simulated key-value store. */
import { UserRequests } from '../../src/coordination/api/user-requests.js';
import { Committer } from '../../src/storage/committer.js';
import { CATALOG } from '../../src/storage/keys.js';
import type { HttpReply } from '../../src/transport/http-server.js';
import { SimClock } from './clock.js';
import { jobOf, submissionOf } from './jobs.js';
import { followingReplica } from './replica.js';
import { TEAMS, TYPES, silentLog } from './settings.js';
import { SimKeyValueStore } from './key-value-store.js';

/**
 * Requests about an accepted job. `malformed`: a repeated submission that lacks a field; `unfit`:
 * one with a team that does not exist.
 */
export const REQUESTS = ['poll', 'repeat', 'malformed', 'unfit', 'cancel'] as const;
/** One of `REQUESTS`. */
export type UserRequestKind = (typeof REQUESTS)[number];

/** Fields in which a repeated submission differs from the accepted one. */
const REPEATS: Partial<Record<UserRequestKind, Record<string, unknown>>> = {
  repeat: {},
  malformed: { gpus: undefined },
  unfit: { crew: 'nobody' },
};

/** Options of the fixture. */
export interface UserRequestsFixtureOptions {
  /** ms between two transactions that check jobs. */
  checkIntervalMs?: number;
  /** Limit of this controller's requests and writes per second. */
  rps?: number;
  /** Changes the key-value store before the controller reads it. */
  prepare?: (simStore: SimKeyValueStore) => void;
}

/** Returns one controller's request handlers, whose replica follows the key-value store. */
export async function userRequestsFixture({
  checkIntervalMs: checkMs = 300,
  rps = 100,
  prepare,
}: UserRequestsFixtureOptions = {}) {
  const clock = new SimClock();
  const simStore = new SimKeyValueStore(clock);
  simStore.change([{ key: CATALOG, value: TYPES }]);
  prepare?.(simStore);
  const errors: string[] = [];
  const log = { ...silentLog, error: (_: object, message: string) => void errors.push(message) };
  const store = followingReplica(clock, simStore, rps, log);
  await clock.run(500);
  const users = new UserRequests({
    ...store,
    teams: TEAMS,
    transactionOps: 8,
    valueBytes: 8192,
    checkIntervalMs: checkMs,
    committer: new Committer(store),
    log,
    onCommitted: () => undefined,
  });
  /** Returns the body of a submission, changed according to the kind of request. */
  const bodyOf = (id: string, kind: UserRequestKind): string =>
    JSON.stringify(submissionOf(id, jobOf({ tasks: 1 }), REPEATS[kind] ?? {}));
  let answered = 0;
  const send = (kind: UserRequestKind, id: string): Promise<HttpReply> => {
    if (kind === 'poll') return users.poll(id);
    if (kind === 'cancel') return users.cancel(id);
    return users.submit(bodyOf(id, kind));
  };
  const request = async (kind: UserRequestKind, id: string): Promise<HttpReply> => {
    const reply = await send(kind, id);
    answered++;
    return reply;
  };
  /** Runs 12 s of simulated time and returns the replies. */
  const settle = async (...replies: Promise<HttpReply>[]): Promise<HttpReply[]> => {
    const all = Promise.all(replies);
    await clock.run(clock.now() + 12_000);
    return all;
  };
  return {
    ...store,
    clock,
    store: simStore,
    users,
    request,
    settle,
    errors,
    answered: () => answered,
  };
}
