/** The members' share of the key-value store's limits. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RateLimiter, type Purpose } from '../../src/storage/rate-limiter.js';
import { SimClock } from '../world/clock.js';

test('the key-value store: members share its rate limits, and one may use what the others leave', async () => {
  // [members that ask, least and most requests a second that pass all together]
  const cases: [string, number, number, number][] = [
    ['all ask', 5, 60, 104],
    ['one asks', 1, 60, 81],
  ];
  for (const [name, requesting, least, most] of cases) {
    const clock = new SimClock();
    let level = 100;
    let at = 0;
    let passed = 0;
    const gates = Array.from(
      { length: 5 },
      () => new RateLimiter(clock, { rps: 100, writeRps: 50, transactionOps: 8 }, 5),
    );
    for (const limiter of gates.slice(0, requesting)) {
      const request = async (): Promise<void> => {
        for (;;) {
          await limiter.acquire('part', 0);
          level = Math.min(100, level + ((clock.now() - at) / 1000) * 100) - 1;
          at = clock.now();
          if (level >= 0) passed++;
          else {
            level = 0;
            limiter.reportRefusal(0);
          }
        }
      };
      void request();
    }
    await clock.run(30_000);
    const before = passed;
    await clock.run(90_000);
    const rate = (passed - before) / 60;
    assert.ok(rate >= least && rate <= most, `${name}: ${rate} a second`);
  }
});

test('the key-value store: recent writes of a controller tell how scarce writes are', async () => {
  // [writes a second of this controller, what it is told]; its equal share is 10 a second.
  const cases: [number, string][] = [
    [2, 'plenty'],
    [7, 'scarce'],
    [10, 'short'],
  ];
  for (const [rate, supply] of cases) {
    const clock = new SimClock();
    const limiter = new RateLimiter(clock, { rps: 1000, writeRps: 50, transactionOps: 8 }, 5);
    for (let turn = 0; turn < rate * 20; turn++) {
      void limiter.acquire('part', 1);
      await clock.run(clock.now() + 1000 / rate);
    }
    assert.equal(limiter.supply, supply, `${rate} a second`);
  }
});

// A check waited behind writes above the rate limit, as long as decisions had some to make: each
// question about a job that this controller had to look up failed all the while.
test('the key-value store: checks pass while decisions use up the writes, or all requests', async () => {
  // [requests and writes a second that decisions ask for, writes of each]
  const cases: [string, number, number][] = [
    ['more writes than the rate limit allows', 8, 8],
    ['more requests than the rate limit allows', 60, 0],
  ];
  for (const [name, rate, cost] of cases) {
    const clock = new SimClock();
    const limiter = new RateLimiter(clock, { rps: 80, writeRps: 25, transactionOps: 8 }, 3);
    for (const purpose of ['part', 'leader'] as const) {
      const ask = (): void => {
        void limiter.acquire(purpose, cost);
        clock.after(1000 / rate, ask);
      };
      ask();
    }
    await clock.run(20_000);
    const waits: number[] = [];
    const check = (): void => {
      const from = clock.now();
      void limiter.acquire('check', 0).then(() => waits.push(clock.now() - from));
      clock.after(2000, check);
    };
    check();
    await clock.run(80_000);
    assert.ok(waits.length >= 29, `${name}: ${waits.length} of 30 passed`);
    assert.ok(Math.max(...waits) < 1000, `${name}: ${Math.max(...waits)} ms`);
  }
});

test('the key-value store: writes keep their order, and overtake nothing that waits before them', async () => {
  const clock = new SimClock();
  const limiter = new RateLimiter(clock, { rps: 80, writeRps: 10, transactionOps: 8 }, 1);
  const order: string[] = [];
  const pass = (name: string, purpose: Purpose, cost: number): void => {
    void limiter.acquire(purpose, cost).then(() => order.push(name));
  };
  pass('first', 'submit', 10);
  await clock.run(10);
  pass('submission', 'submit', 1);
  pass('status', 'status', 1);
  pass('large', 'part', 8);
  pass('read', 'submit', 0);
  await clock.run(20);
  assert.deepEqual(order, ['first', 'read']);
  await clock.run(5000);
  assert.deepEqual(order, ['first', 'read', 'large', 'status', 'submission']);
});
