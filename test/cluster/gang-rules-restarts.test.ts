/** Rules for gangs: restarts, ends, placement, and what users are told. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LEASE_S, LONG, playRule, type GangRuleCase } from '../world/gang-scenario.js';
import { GANG, OTHER } from '../world/gang-steps.js';
import { stageOf } from '../world/jobs.js';

const ROWS: GangRuleCase[] = [
  // --- Restarts ------------------------------------------------------------------------------
  {
    rule: 'restart',
    name: 'one zone: no task starts in another zone while an old one is not proven gone',
    zones: ['a', 'a', 'b', 'b'],
    maxMachines: 4,
    act: async (scenario) => {
      const { world } = scenario;
      const attempt = await scenario.submitAndRun({ ...LONG, oneZone: true }, 7);
      const [first, second] = scenario.machinesOf();
      assert.ok(first && second);
      // No capacity is left in its zone, and no heartbeat tells that its tasks have ended.
      first.hang(20);
      scenario.cutOff(second);
      world.cloudRefusesReturns = true;
      const lastAt = world.clock.now();
      await world.run(LEASE_S - 6);
      const later = world.starts.filter((one) => one.at > lastAt);
      assert.deepEqual(later, [], `while attempt ${attempt} is not proven gone`);
      world.cutLinks.clear();
      world.cloudRefusesReturns = false;
      await scenario.awaitGangStart(120, 2);
    },
  },
  {
    // One assignment is proven gone at once, the other only when its machine resumes.
    rule: 'restart',
    name: 'one of two assignments hangs: the other waits for the proof of its end before it restarts',
    zones: ['a', 'a', 'a', 'a', 'b', 'b', 'b', 'b'],
    act: async (scenario) => {
      const { world } = scenario;
      await scenario.submitAndRun({ ...LONG, tasks: 6, cpus: 1, spread: true }, 7);
      const hung = scenario.machinesOf().find((one) => one.machine.zone === 'b');
      assert.ok(hung);
      hung.hang(20);
      // A machine that is returned proves its tasks' end as well.
      world.cloudRefusesReturns = true;
      const since = world.clock.now();
      await world.run(19.5);
      assert.deepEqual(
        world.starts.filter((one) => one.at > since),
        [],
        'starts while a task may still be on its machine',
      );
      assert.equal(scenario.attempts().size, 1, 'nor is it handed out anew');
      world.cloudRefusesReturns = false;
      await scenario.awaitGangStart(120, 2);
    },
  },
  // --- One done, all done --------------------------------------------------------------------
  {
    rule: 'done',
    name: 'all are done, one machine sends no heartbeats for 15 s: nothing starts again',
    act: async (scenario) => {
      const { world } = scenario;
      await scenario.submitAndRun(LONG, 25);
      scenario.cutOff(scenario.machineOf());
      await scenario.runUntil('all is complete', 20, () => world.completed.size === 4);
      const starts = world.starts.length;
      await world.run(15);
      assert.equal(world.starts.length, starts);
      world.cutLinks.clear();
      await world.run(5);
      assert.equal(world.starts.length, starts);
    },
  },
  ...['dies', 'is cut for longer than its lease'].map((fate): GangRuleCase => ({
    rule: 'done',
    name: `all are done, one machine ${fate} before it says so: the job gets done`,
    act: async (scenario) => {
      const { world } = scenario;
      await scenario.submitAndRun(LONG, 25);
      const lost = scenario.machineOf();
      scenario.cutOff(lost);
      await scenario.runUntil('all is complete', 20, () => world.completed.size === 4);
      if (fate === 'dies') lost.die();
      await world.run(LEASE_S + 16);
      world.cutLinks.clear();
      await scenario.assertEnded(GANG, 'done', 120);
      // Its capacity is free for the next.
      await scenario.submitAccepted(OTHER, { tasks: 4, cpus: 2 });
      await scenario.awaitGangStart(60, 1, OTHER);
    },
  })),
  // --- Placement -----------------------------------------------------------------------------
  {
    rule: 'placement',
    name: 'apart: at most half of it in one zone, all at once',
    zones: ['a', 'a', 'b', 'b'],
    maxMachines: 4,
    act: async (scenario) => {
      await scenario.submitAccepted(GANG, { ...LONG, tasks: 6, spread: true });
      await scenario.awaitGangStart(60);
    },
  },
  {
    rule: 'placement',
    name: 'one zone: not split over two zones though both together have the capacity',
    zones: ['a', 'b'],
    act: async (scenario) => {
      await scenario.submitAccepted(GANG, { ...LONG, oneZone: true });
      await scenario.awaitGangStart(60);
    },
  },
  // --- Users ---------------------------------------------------------------------------------
  {
    rule: 'submission',
    name: 'submitted again while it waits, runs and is done: known, and run once',
    act: async (scenario) => {
      const { world } = scenario;
      const again = async (stages: string[]): Promise<void> => {
        for (const [node] of world.members) {
          const reply = await scenario.submit(GANG, LONG, node);
          assert.equal(reply.status, 200);
          assert.ok(stages.includes(stageOf(reply)), stageOf(reply));
          // What is known stays accepted, even if a retry says what nobody could run.
          const other = world.submit(GANG, { gang: true, ...LONG }, node, { larvae: 90_000 });
          assert.equal((await scenario.awaitReply(other)).status, 200);
        }
      };
      const both = [scenario.submit(GANG, LONG, 'n0'), scenario.submit(GANG, LONG, 'n2')];
      const statuses = (await Promise.all(both)).map((one) => one.status).sort();
      assert.deepEqual(statuses, [200, 201]);
      await again(['queued', 'running']);
      await scenario.awaitGangStart(20);
      await again(['running']);
      await scenario.assertEnded(GANG, 'done', 90);
      await again(['done']);
      assert.equal(scenario.starts().length, 1);
      assert.equal(world.starts.length, 4);
    },
  },
  {
    rule: 'submission',
    name: 'submitted again after it was cancelled: stays so, nothing starts',
    done: [],
    act: async (scenario) => {
      const { world } = scenario;
      await scenario.submitAndRun({ ...LONG, runS: 200 }, 5);
      await scenario.awaitReply(world.cancel(GANG, 'n1'));
      const reply = await scenario.submit(GANG, LONG, 'n2');
      assert.equal(reply.status, 200);
      assert.equal(stageOf(reply), 'withdrawn');
      await scenario.assertEnded(GANG, 'withdrawn', 50);
      assert.equal(scenario.starts().length, 1);
    },
  },
];

for (const row of ROWS) {
  test(`gang rule, ${row.rule}: ${row.name}`, () => playRule(row));
}
