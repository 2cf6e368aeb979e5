/** The members' share of the state service's limits. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RateLimiter } from '../src/storage/rate-limiter.js';
import { SimClock } from './world/clock.js';

test('the state service: members share its limits, and one uses what the others leave', async () => {
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
      () => new RateLimiter(clock, { rps: 100, writeRps: 50, txnOps: 8 }, 5),
    );
    for (const limiter of gates.slice(0, requesting)) {
      const request = async (): Promise<void> => {
        for (;;) {
          await limiter.pass('part', 0);
          level = Math.min(100, level + ((clock.now() - at) / 1000) * 100) - 1;
          at = clock.now();
          if (level >= 0) passed++;
          else {
            level = 0;
            limiter.refused(0);
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

test('the state service: what a node wrote lately says how scarce writes are', async () => {
  // [writes a second of this node, what it is told]; its equal share is 10 a second.
  const cases: [number, string][] = [
    [2, 'plenty'],
    [7, 'scarce'],
    [10, 'short'],
  ];
  for (const [rate, supply] of cases) {
    const clock = new SimClock();
    const limiter = new RateLimiter(clock, { rps: 1000, writeRps: 50, txnOps: 8 }, 5);
    for (let turn = 0; turn < rate * 20; turn++) {
      void limiter.pass('part', 1);
      await clock.run(clock.now() + 1000 / rate);
    }
    assert.equal(limiter.supply, supply, `${rate} a second`);
  }
});
