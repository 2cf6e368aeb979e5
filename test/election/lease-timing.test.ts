/** Grace, lease expiry and fencing times, by the timing of the settings. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  fenceEndsAt,
  graceMs,
  workerLeaseMs,
} from '../../src/coordination/election/lease-timing.js';

test('grace and lease end before a cancellation is due; fencing times cover every former owner', () => {
  for (const timing of [
    { leaseS: 24, cancelS: 54, skewMs: 1000 },
    { leaseS: 26, cancelS: 51, skewMs: 100 },
    // Seen with three real processes: with a fixed margin no grace was left and no controller answered.
    { leaseS: 6, cancelS: 12, skewMs: 0 },
  ]) {
    const grace = graceMs(timing);
    assert.ok(grace >= 3000);
    assert.ok(grace + workerLeaseMs(timing) <= (timing.cancelS - 1) * 1000);
    const record = { owner: 'n0', incarnation: 'x', term: 4 };
    // Its own role back after a restart: its own answers ended before it started.
    const self = { startedAt: 500, seenAt: 900 };
    const own = fenceEndsAt({ ...record, movedAt: 0 }, self, 10_000_000, timing);
    assert.equal(own, 500 + workerLeaseMs(timing));
    // Moved: the former owner may go on for its grace from the moment at which the claim was carried
    // out, which is no later than when it was seen, however long before it was made.
    for (const madeAgo of [0, 2_000, 70_000, 200_000]) {
      const movedAt = 10_000_000 - madeAgo;
      const moved = fenceEndsAt({ ...record, movedAt }, self, 10_000_000, timing);
      assert.equal(moved, 900 + grace + workerLeaseMs(timing));
    }
  }
});
