/**
 * Startup of a controller: the load of all keys completes although requests fail or keys change,
 * and until then only those requests are answered for which that is safe.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CATALOG, finalKey, jobKey } from '../../src/storage/keys.js';
import { SimClock } from '../world/clock.js';
import { SPEC } from '../world/shard-fixture.js';
import { followingReplica } from '../world/replica.js';
import { TYPES } from '../world/settings.js';
import { SimKeyValueStore } from '../world/key-value-store.js';
import { REQUESTS, userRequestsFixture } from '../world/user-requests-fixture.js';

const jobName = (number: number): string => `j-${String(number).padStart(6, '0')}`;

/** Stores the machine types and this many open jobs. */
function fill(store: SimKeyValueStore, jobs: number): void {
  const numbers = Array.from({ length: jobs }, (_, number) => number);
  store.change([
    { key: CATALOG, value: TYPES },
    ...numbers.map((number) => ({
      key: jobKey(jobName(number)),
      value: { spec: { ...SPEC, id: jobName(number) }, at: 0 },
    })),
  ]);
}

// Guards against a load that restarts from its first page after any failed page. Of 30 pages with
// each third request refused, such a load never completed.
test('startup: when reading a page fails, the pages read before are kept', async () => {
  const cases: [string, (listing: number) => boolean, number][] = [
    ['none fails', () => false, 31],
    ['each third is refused', (listing) => listing % 3 === 0, 47],
    ['each second is refused', (listing) => listing % 2 === 0, 62],
    ['many in a row', (listing) => listing > 5 && listing < 12, 38],
  ];
  for (const [name, refuses, maxListings] of cases) {
    const clock = new SimClock();
    const store = new SimKeyValueStore(clock);
    fill(store, 3000);
    store.pageKeys = 100;
    store.refusesListing = refuses;
    const { replica } = followingReplica(clock, store, 100);
    await clock.run(20_000);
    assert.ok(replica.isSynced, `${name}: not loaded`);
    assert.equal([...replica.openJobs()].length, 3000, name);
    assert.ok(store.listings <= maxListings, `${name}: ${store.listings} pages`);
  }
});

test('startup: a load that spans more changes than the store keeps restarts and completes', async () => {
  const clock = new SimClock();
  const store = new SimKeyValueStore(clock);
  fill(store, 300);
  store.pageKeys = 100;
  // Between the first two pages, more changes occur than the store keeps for watches.
  store.refusesListing = (listing) => {
    if (listing === 2) store.revision += 10_001;
    return false;
  };
  const { replica } = followingReplica(clock, store, 100);
  await clock.run(5000);
  assert.ok(replica.isSynced);
  assert.equal([...replica.openJobs()].length, 300);
  assert.equal(store.listings, 6);
});

test('startup: when keys change while pages are read, the replica equals the store in the end', async () => {
  const clock = new SimClock();
  const store = new SimKeyValueStore(clock);
  fill(store, 300);
  store.pageKeys = 20;
  store.refusesListing = (listing) => listing % 3 !== 0;
  // Jobs are created and removed while pages are read, among keys that have been read already and
  // among keys that have not.
  let at = 0;
  const change = (): void => {
    at++;
    store.change([
      { key: jobKey(jobName((at * 37) % 300)), remove: true },
      { key: jobKey(jobName(1000 + at)), value: { spec: SPEC, at } },
    ]);
    if (at < 60) clock.after(100, change);
  };
  change();
  const { replica } = followingReplica(clock, store, 100);
  await clock.run(40_000);
  assert.ok(replica.isSynced);
  const stored = [...store.entries.keys()].filter((key) => key.startsWith(jobKey(''))).sort();
  const replicated = [...replica.entriesWithPrefix(jobKey(''))].map(([key]) => key).sort();
  assert.deepEqual(replicated, stored);
});

test('startup: after a reload because of missed changes, the replica equals the store', async () => {
  const clock = new SimClock();
  const store = new SimKeyValueStore(clock);
  fill(store, 200);
  store.pageKeys = 30;
  const { replica } = followingReplica(clock, store, 100);
  await clock.run(3000);
  // Its watches fail while more changes occur than the store keeps. The pages are then read again
  // while further changes occur.
  store.refusedControllers.add('p');
  await clock.run(6000);
  for (let index = 0; index < 150; index++) {
    store.change([
      { key: jobKey(jobName(index)), remove: true },
      { key: jobKey(jobName(2000 + index)), value: { spec: SPEC, at: index } },
    ]);
  }
  store.retainedChanges = 100;
  store.refusedControllers.clear();
  store.refusesListing = (listing) => listing % 2 === 0;
  for (let index = 0; index < 40; index++) {
    await clock.run(clock.now() + 60);
    store.change([
      { key: jobKey(jobName(2000 + index * 3)), remove: true },
      { key: jobKey(jobName(5000 - index)), value: { spec: SPEC, at: index } },
    ]);
  }
  await clock.run(clock.now() + 10_000);
  const stored = [...store.entries.keys()].filter((key) => key.startsWith(jobKey(''))).sort();
  const replicated = [...replica.entriesWithPrefix(jobKey(''))].map(([key]) => key).sort();
  assert.ok(replica.isSynced);
  assert.deepEqual(replicated, stored);
});

test('startup: during the load, finished and unknown jobs are answered, all others get 503', async () => {
  const failures: string[] = [];
  const expected = { 'j-000001': 503, 'j-900001': 200, 'j-900002': 404 };
  for (const [id, status] of Object.entries(expected)) {
    for (const kind of REQUESTS) {
      const fixture = await userRequestsFixture({
        prepare: (store) => {
          fill(store, 10);
          store.change([{ key: finalKey('j-900001'), value: { state: 'cancelled', tasks: 1 } }]);
          store.refusesListing = () => true;
        },
      });
      assert.ok(!fixture.replica.isLoaded);
      const [reply] = await fixture.settle(fixture.request(kind, id));
      // No submission is accepted or refused before the machine types are known.
      const isSubmission = kind !== 'poll' && kind !== 'cancel';
      const expectedStatus = status === 404 && isSubmission ? 503 : status;
      if (reply?.status !== expectedStatus) failures.push(`${id}: ${kind} ${reply?.status}`);
    }
  }
  assert.deepEqual(failures, []);
});
