/** Which candidate may take a free role, on a clock that advances between two readings. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MEMBER_LEASE_RENEW_MS } from '../../src/constants/election.js';
import { CandidateOrder } from '../../src/coordination/election/candidate-order.js';
import { SteppedDownRoles } from '../../src/coordination/election/stepped-down-roles.js';
import { STORE_ONLY_POLICY } from '../../src/coordination/election/failover-policy.js';
import { RejectedChangeBackoff } from '../../src/storage/rejected-change-backoff.js';
import type { Clock } from '../../src/transport/clock.js';
import { followingReplica } from '../world/replica.js';
import { SimClock } from '../world/clock.js';
import { SimKeyValueStore } from '../world/key-value-store.js';

/** Each reading is later than the one before, as on a real machine. */
class MovingClock implements Clock {
  private time = 1_000_000;

  now(): number {
    this.time += 0.01;
    return this.time;
  }

  wall(): number {
    return this.now();
  }

  after(): () => void {
    return () => undefined;
  }

  pass(ms: number): void {
    this.time += ms;
  }
}

// Read in the wrong order, the time for which a role had been free was below zero at the first check,
// and each takeover waited for the next election pass, half a second later.
test('the first candidate takes a free role when it first sees it, the second one delay later', () => {
  const simulated = new SimClock();
  const { replica } = followingReplica(simulated, new SimKeyValueStore(simulated), 100);
  const looks: string[] = [];
  for (const self of ['n0', 'n1']) {
    const clock = new MovingClock();
    const candidateOrder = new CandidateOrder({
      self: { node: self, zone: self === 'n0' ? 'a' : 'b' },
      incarnation: 'x',
      members: [
        { node: 'n0', zone: 'a' },
        { node: 'n1', zone: 'b' },
      ],
      replica,
      clock,
      policy: STORE_ONLY_POLICY,
      steppedDown: new SteppedDownRoles(clock),
      rejectedChangeBackoff: new RejectedChangeBackoff(clock),
      startedAt: clock.now(),
    });
    // Both are starting, so all members are candidates for leadership.
    const first = candidateOrder.shouldClaim('leader', null);
    clock.pass(MEMBER_LEASE_RENEW_MS);
    const later = candidateOrder.shouldClaim('leader', null);
    looks.push(`${first} ${later}`);
  }
  assert.deepEqual(looks.sort(), ['false true', 'true true']);
});
