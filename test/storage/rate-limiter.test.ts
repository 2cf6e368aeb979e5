/**
 * Tests how the members share the key-value store's rate limits, and in which order requests wait.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RateLimiter, type Purpose } from '../../src/storage/rate-limiter.js';
import { SimClock } from '../world/clock.js';

test('rate limiter: all members together stay near a limit, and a single active one uses most of it', async () => {
  // [active members, minimum and maximum of the requests per second that are served in total]
  const cases: [string, number, number, number][] = [
    ['all are active', 5, 60, 104],
    ['one is active', 1, 60, 81],
  ];
  for (const [name, activeMembers, minRate, maxRate] of cases) {
    const clock = new SimClock();
    let tokens = 100;
    let refilledAt = 0;
    let served = 0;
    const limiters = Array.from(
      { length: 5 },
      () => new RateLimiter(clock, { rps: 100, writeRps: 50, transactionOps: 8 }, 5),
    );
    for (const limiter of limiters.slice(0, activeMembers)) {
      const request = async (): Promise<void> => {
        for (;;) {
          await limiter.acquire('part', 0);
          tokens = Math.min(100, tokens + ((clock.now() - refilledAt) / 1000) * 100) - 1;
          refilledAt = clock.now();
          if (tokens >= 0) served++;
          else {
            tokens = 0;
            limiter.reportRefusal(0);
          }
        }
      };
      void request();
    }
    await clock.run(30_000);
    const before = served;
    await clock.run(90_000);
    const rate = (served - before) / 60;
    assert.ok(rate >= minRate && rate <= maxRate, `${name}: ${rate} per second`);
  }
});

test('rate limiter: supply falls from plenty to short as the recent writes of a controller grow', async () => {
  // [writes per second of this controller, expected supply]; its equal share is 10 per second.
  const cases: [number, string][] = [
    [2, 'plenty'],
    [7, 'scarce'],
    [10, 'short'],
  ];
  for (const [rate, supply] of cases) {
    const clock = new SimClock();
    const limiter = new RateLimiter(clock, { rps: 1000, writeRps: 50, transactionOps: 8 }, 5);
    for (let count = 0; count < rate * 20; count++) {
      void limiter.acquire('part', 1);
      await clock.run(clock.now() + 1000 / rate);
    }
    assert.equal(limiter.supply, supply, `${rate} per second`);
  }
});

// Guards against polls that time out. A user's job check waited behind the writes of leader and
// shards as long as these exceeded the rate limit, so each poll of a job that this controller had
// to look up failed during that time.
test('rate limiter: job checks are served while leader and shards use up all writes or all requests', async () => {
  // [requests per second of leader and of shards, writes in each request]
  const cases: [string, number, number][] = [
    ['more writes than the rate limit allows', 8, 8],
    ['more requests than the rate limit allows', 60, 0],
  ];
  for (const [name, rate, cost] of cases) {
    const clock = new SimClock();
    const limiter = new RateLimiter(clock, { rps: 80, writeRps: 25, transactionOps: 8 }, 3);
    for (const purpose of ['part', 'leader'] as const) {
      const request = (): void => {
        void limiter.acquire(purpose, cost);
        clock.after(1000 / rate, request);
      };
      request();
    }
    await clock.run(20_000);
    const waitsMs: number[] = [];
    const check = (): void => {
      const requestedAt = clock.now();
      void limiter.acquire('check', 0).then(() => waitsMs.push(clock.now() - requestedAt));
      clock.after(2000, check);
    };
    check();
    await clock.run(80_000);
    assert.ok(waitsMs.length >= 29, `${name}: ${waitsMs.length} of 30 were served`);
    assert.ok(Math.max(...waitsMs) < 1000, `${name}: ${Math.max(...waitsMs)} ms`);
  }
});

test('rate limiter: a write precedes none that waits before it, and a read waits for no write', async () => {
  const clock = new SimClock();
  const limiter = new RateLimiter(clock, { rps: 80, writeRps: 10, transactionOps: 8 }, 1);
  const order: string[] = [];
  const request = (name: string, purpose: Purpose, cost: number): void => {
    void limiter.acquire(purpose, cost).then(() => order.push(name));
  };
  request('first', 'submit', 10);
  await clock.run(10);
  request('submission', 'submit', 1);
  request('status', 'status', 1);
  request('large', 'part', 8);
  request('read', 'submit', 0);
  await clock.run(20);
  assert.deepEqual(order, ['first', 'read']);
  await clock.run(5000);
  assert.deepEqual(order, ['first', 'read', 'large', 'status', 'submission']);
});
