/** Tests which candidate may claim a free role, with a clock that advances between two readings. */
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

/** A clock that returns a later time with each reading, as on a real machine. */
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

  advance(ms: number): void {
    this.time += ms;
  }
}

// Guards against a failover that starts late. The clock was read before the time since which the
// role was free, so the difference was below zero at the first check, and each failover waited for
// the next election pass, half a second later.
test('the first candidate claims a free role at its first check, the second one renewal interval later', () => {
  const simulated = new SimClock();
  const { replica } = followingReplica(simulated, new SimKeyValueStore(simulated), 100);
  const decisions: string[] = [];
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
    // Both controllers are starting, so all members are candidates for the leader role.
    const first = candidateOrder.shouldClaim('leader', null);
    clock.advance(MEMBER_LEASE_RENEW_MS);
    const later = candidateOrder.shouldClaim('leader', null);
    decisions.push(`${first} ${later}`);
  }
  assert.deepEqual(decisions.sort(), ['false true', 'true true']);
});
