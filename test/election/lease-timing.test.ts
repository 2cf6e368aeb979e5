/** Tests grace, lease expiry and fencing times for several timings in the settings. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  fenceEndsAt,
  graceMs,
  workerLeaseMs,
} from '../../src/coordination/election/lease-timing.js';

test('grace and lease end before a cancellation is due; fencing times cover every former holder', () => {
  for (const timing of [
    { leaseS: 24, cancelS: 54, skewMs: 1000 },
    { leaseS: 26, cancelS: 51, skewMs: 100 },
    // With a fixed margin this timing left no grace, so none of three real processes answered.
    { leaseS: 6, cancelS: 12, skewMs: 0 },
  ]) {
    const grace = graceMs(timing);
    assert.ok(grace >= 3000);
    assert.ok(grace + workerLeaseMs(timing) <= (timing.cancelS - 1) * 1000);
    const record = { owner: 'n0', incarnation: 'x', term: 4 };
    // A controller that holds its own role again after a restart: its earlier process answered no
    // heartbeat after this one started.
    const self = { startedAt: 500, seenAt: 900 };
    const own = fenceEndsAt({ ...record, movedAt: 0 }, self, 10_000_000, timing);
    assert.equal(own, 500 + workerLeaseMs(timing));
    // A role that moved: the former holder may answer for its grace after the claim was executed.
    // That was no later than the time at which the claim was seen, whenever the claim was made.
    for (const madeAgo of [0, 2_000, 70_000, 200_000]) {
      const movedAt = 10_000_000 - madeAgo;
      const moved = fenceEndsAt({ ...record, movedAt }, self, 10_000_000, timing);
      assert.equal(moved, 900 + grace + workerLeaseMs(timing));
    }
  }
});
