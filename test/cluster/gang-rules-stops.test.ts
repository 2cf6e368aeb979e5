/** Rules for gangs: members that are lost or late, graceful stops, and owners that are killed. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { GANG_PEER_S, GANG_WAIT_S } from '../world/gang.js';
import { LEASE_S, LONG, URGENT, WIDE, playRule, type Row } from '../world/gang-scenario.js';
import { GANG, OTHER } from '../world/gang-script.js';
import type { SimWorker } from '../world/worker.js';

const ROWS: Row[] = [
  // --- A member is lost ----------------------------------------------------------------------
  {
    rule: 'waiting',
    name: 'a member is lost before the start: no task runs twice, all start under one attempt',
    act: async (scenario) => {
      const { world } = scenario;
      await scenario.accepted(GANG, LONG);
      await scenario.until('a task waits', 20, () =>
        scenario.holders().some((one) => [...one.onMachine()].length > 0 || one.tasks.size > 0),
      );
      scenario.holder().die();
      await scenario.begins(120);
      const [start] = scenario.starts();
      for (const worker of scenario.holders()) {
        for (const [task, held] of worker.onMachine()) {
          assert.equal(held.attempt, start?.attempt, task);
        }
      }
      await world.run(1);
    },
  },
  {
    rule: 'failure',
    name: 'a member is lost after the start: mates_gone for all others, resumed from the checkpoint',
    act: async (scenario) => {
      const attempt = await scenario.running(LONG, 12);
      const lost = scenario.holder();
      const diedAt = scenario.world.clock.now();
      const others = 4 - lost.tasks.size;
      lost.die();
      await scenario.world.run(GANG_PEER_S + 1);
      // The first task to notice exits with mates_gone; the controllers may then stop the rest earlier.
      const ends = scenario.watch.endsOf(GANG, attempt);
      assert.equal(ends.length, others);
      assert.equal(ends[0]?.cause, 'mates_gone');
      for (const { task, cause, stored } of ends) {
        assert.ok(cause === 'mates_gone' || (cause === 'stopped' && !stored), `${task} ${cause}`);
      }
      assert.ok(ends.every(({ at }) => at - diedAt <= GANG_PEER_S * 1000));
      assert.equal(scenario.savedS(), 10);
      await scenario.begins(120, 2);
      await scenario.goesOnFrom(10, 30);
    },
  },
  ...[12, LEASE_S + 16].map((forS): Row => ({
    rule: 'failure',
    name: `a machine hangs for ${forS} s: its tasks start nowhere while they are on it`,
    act: async (scenario) => {
      await scenario.running(LONG, 7);
      scenario.holder().hang(forS);
      await scenario.begins(120, 2);
      await scenario.goesOnFrom(5, 30);
    },
  })),
  // --- Not complete in time ------------------------------------------------------------------
  {
    // One image takes longer than the others wait: they exit as `alone`, and the attempt ends.
    rule: 'waiting',
    name: 'the last image comes too late: the others exit as `alone`, and all restart together',
    act: async (scenario) => {
      const { world, watch } = scenario;
      const pass = world.gangs.gather.bind(world.gangs);
      let slow: SimWorker | null = null;
      let first = 0;
      world.gangs.gather = (worker, task, held) => {
        slow ??= worker;
        first ||= held.attempt;
        if (worker === slow && held.attempt === first) held.state = 'pulling';
        else pass(worker, task, held);
      };
      await scenario.accepted(GANG, LONG);
      await scenario.begins(GANG_WAIT_S + 60);
      const [start] = scenario.starts();
      assert.ok(start && start.attempt > first, 'a new attempt');
      const causes = new Set(watch.endsOf(GANG, first).map(({ cause }) => cause));
      assert.ok(causes.has('alone') || causes.has('stopped'), [...causes].join());
      assert.equal(watch.endsOf(GANG, first).length, 4, 'all of the first attempt have ended');
    },
  },
  // --- Graceful stops ------------------------------------------------------------------------
  {
    rule: 'graceful stop',
    name: 'assignments of several owners: all are notified in time, progress is kept',
    zones: ['a', 'a', 'b', 'b'],
    maxMachines: 4,
    done: [GANG, OTHER],
    act: async (scenario) => {
      const attempt = await scenario.running({ ...WIDE, checkpointS: 50 }, 20);
      assert.ok(scenario.owners().size >= 2, 'assignments of several owners');
      await scenario.accepted(OTHER, URGENT);
      await scenario.begins(30, 1, OTHER);
      const ends = scenario.watch.endsOf(GANG, attempt);
      assert.deepEqual(
        ends.map(({ cause, stored }) => [cause, stored]),
        ends.map(() => ['stopped', true]),
      );
      assert.equal(ends.length, 6);
      assert.ok(scenario.watch.toldWithinS(GANG, attempt) <= GANG_PEER_S);
      assert.ok(scenario.savedS() >= 20, `saved ${scenario.savedS()} s`);
      await scenario.goesOnFrom(scenario.savedS(), 60);
    },
  },
  {
    // Only one owner has a reason to stop its assignment; the others must be notified in time.
    rule: 'graceful stop',
    name: 'one task is preempted in one zone: the assignments in the other are notified in time as well',
    zones: ['a', 'a', 'b', 'b'],
    maxMachines: 4,
    done: [GANG, OTHER],
    act: async (scenario) => {
      const job = { ...WIDE, team: 'wide', tasks: 8, checkpointS: 50 };
      const attempt = await scenario.running(job, 10);
      await scenario.accepted(OTHER, { ...URGENT, gang: false, tasks: 1, zone: 'b' });
      await scenario.until('the urgent task starts', 30, () =>
        scenario.world.starts.some(({ task }) => task === `${OTHER}/0`),
      );
      const ends = scenario.watch.endsOf(GANG, attempt);
      assert.deepEqual(
        ends.map(({ cause, stored }) => `${cause} ${stored}`),
        Array.from({ length: 8 }, () => 'stopped true'),
      );
      assert.ok(scenario.watch.toldWithinS(GANG, attempt) <= GANG_PEER_S);
      assert.ok(scenario.savedS() >= 10, `saved ${scenario.savedS()} s`);
      await scenario.goesOnFrom(scenario.savedS(), 60);
    },
  },
  {
    // Most is lost if the next owner stops the rest too late; then the last checkpoint counts.
    rule: 'graceful stop',
    name: 'the owner of an assignment is killed at the first halt: one end for all, no checkpoint is lost',
    zones: ['a', 'a', 'b', 'b'],
    maxMachines: 4,
    done: [GANG, OTHER],
    act: async (scenario) => {
      const { world, watch } = scenario;
      const attempt = await scenario.running(WIDE, 22);
      await scenario.accepted(OTHER, URGENT);
      await scenario.until('the first halt', 30, () => watch.halts.length > 0);
      const nodes = [...scenario.owners()];
      const [node] = nodes;
      assert.ok(node && nodes.length >= 2, 'assignments of several owners');
      world.kill(node);
      await world.run(4);
      world.boot(node);
      await scenario.begins(90, 1, OTHER);
      await scenario.begins(120, 2);
      assert.equal(new Set(watch.endsOf(GANG, attempt).map(({ task }) => task)).size, 6);
      assert.ok(scenario.savedS() >= 20, `saved ${scenario.savedS()} s`);
    },
  },
  {
    // The next owner neither hears those machines nor may it place their tasks elsewhere.
    rule: 'controllers killed',
    name: 'the owner is killed after it reserved all placements, and its starts arrive 9 s later',
    zones: ['a', 'a', 'a', 'a', 'a', 'a'],
    act: async (scenario) => {
      const { world } = scenario;
      for (const worker of world.workers.values()) worker.holdDirectMs = 9000;
      await scenario.accepted(GANG, LONG);
      await scenario.until(
        'all placements are reserved',
        20,
        () => scenario.reserved().length === 4,
      );
      await world.run(0.05);
      assert.equal(world.starts.length, 0);
      const machines = new Set(scenario.reserved());
      for (const worker of world.workers.values()) worker.mute = machines.has(worker.machine.name);
      const [node] = scenario.owners();
      assert.ok(node);
      world.kill(node);
      await world.run(4);
      world.boot(node);
      await world.run(10);
      for (const worker of world.workers.values()) {
        worker.holdDirectMs = 0;
        worker.mute = false;
      }
      await scenario.begins(90);
    },
  },
];

for (const row of ROWS) {
  test(`gang rule, ${row.rule}: ${row.name}`, () => playRule(row));
}
