/** Rules for gangs: when a gang restarts and ends, where it is placed, and which answers users get. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LEASE_S, CHECKPOINTED_GANG, playRule, type GangRuleCase } from '../world/gang-scenario.js';
import { GANG, OTHER_JOB } from '../world/gang-steps.js';
import { stageOf } from '../world/jobs.js';

const ROWS: GangRuleCase[] = [
  // --- Restarts ------------------------------------------------------------------------------
  {
    rule: 'restart',
    name: 'one zone: no task starts in another zone until the old tasks are proven to have ended',
    zones: ['a', 'a', 'b', 'b'],
    maxMachines: 4,
    act: async (scenario) => {
      const { world } = scenario;
      const attempt = await scenario.submitAndRun({ ...CHECKPOINTED_GANG, oneZone: true }, 7);
      const [first, second] = scenario.machinesOf();
      assert.ok(first && second);
      // The gang's zone has no capacity left, and no heartbeat reports that its tasks have ended.
      first.hang(20);
      scenario.cutOff(second);
      world.cloudRefusesReturns = true;
      const lastAt = world.clock.now();
      await world.run(LEASE_S - 6);
      const later = world.starts.filter((one) => one.at > lastAt);
      assert.deepEqual(later, [], `started while the end of attempt ${attempt} was not proven`);
      world.cutLinks.clear();
      world.cloudRefusesReturns = false;
      await scenario.awaitGangStart(120, 2);
    },
  },
  {
    // The tasks of one assignment are proven to have ended at once, those of the other only when the
    // machine that hangs resumes.
    rule: 'restart',
    name: 'a machine of one of two assignments hangs: no task restarts until the end of all is proven',
    zones: ['a', 'a', 'a', 'a', 'b', 'b', 'b', 'b'],
    act: async (scenario) => {
      const { world } = scenario;
      await scenario.submitAndRun({ ...CHECKPOINTED_GANG, tasks: 6, cpus: 1, spread: true }, 7);
      const hung = scenario.machinesOf().find((one) => one.machine.zone === 'b');
      assert.ok(hung);
      hung.hang(20);
      // Returning a machine to the cloud would also prove that its tasks have ended.
      world.cloudRefusesReturns = true;
      const since = world.clock.now();
      await world.run(19.5);
      assert.deepEqual(
        world.starts.filter((one) => one.at > since),
        [],
        'started while a task of the old attempt may still run',
      );
      assert.equal(scenario.attempts().size, 1, 'no second attempt was assigned');
      world.cloudRefusesReturns = false;
      await scenario.awaitGangStart(120, 2);
    },
  },
  // --- Done ----------------------------------------------------------------------------------
  {
    rule: 'done',
    name: 'all tasks are done, heartbeats of one machine are lost for 15 s: no task starts again',
    act: async (scenario) => {
      const { world } = scenario;
      await scenario.submitAndRun(CHECKPOINTED_GANG, 25);
      scenario.cutOff(scenario.machineOf());
      await scenario.runUntil('all tasks are complete', 20, () => world.completedTasks.size === 4);
      const starts = world.starts.length;
      await world.run(15);
      assert.equal(world.starts.length, starts);
      world.cutLinks.clear();
      await world.run(5);
      assert.equal(world.starts.length, starts);
    },
  },
  ...['dies', 'is cut off for longer than its lease'].map((fate): GangRuleCase => ({
    rule: 'done',
    name: `all tasks are done, one machine ${fate} before it reports that: the job ends as done`,
    act: async (scenario) => {
      const { world } = scenario;
      await scenario.submitAndRun(CHECKPOINTED_GANG, 25);
      const lost = scenario.machineOf();
      scenario.cutOff(lost);
      await scenario.runUntil('all tasks are complete', 20, () => world.completedTasks.size === 4);
      if (fate === 'dies') lost.die();
      await world.run(LEASE_S + 16);
      world.cutLinks.clear();
      await scenario.assertEnded(GANG, 'done', 120);
      // The gang's capacity is free for the next one.
      await scenario.submitAccepted(OTHER_JOB, { tasks: 4, cpus: 2 });
      await scenario.awaitGangStart(60, 1, OTHER_JOB);
    },
  })),
  // --- Placement -----------------------------------------------------------------------------
  {
    rule: 'placement',
    name: 'spread: at most half of the tasks in one zone, and all start together',
    zones: ['a', 'a', 'b', 'b'],
    maxMachines: 4,
    act: async (scenario) => {
      await scenario.submitAccepted(GANG, { ...CHECKPOINTED_GANG, tasks: 6, spread: true });
      await scenario.awaitGangStart(60);
    },
  },
  {
    rule: 'placement',
    name: 'one zone: not split over two zones although only both together have the capacity',
    zones: ['a', 'b'],
    act: async (scenario) => {
      await scenario.submitAccepted(GANG, { ...CHECKPOINTED_GANG, oneZone: true });
      await scenario.awaitGangStart(60);
    },
  },
  // --- Users ---------------------------------------------------------------------------------
  {
    rule: 'submission',
    name: 'submitted again while it waits, runs and is done: answered with its stage, and run once',
    act: async (scenario) => {
      const { world } = scenario;
      const resubmit = async (stages: string[]): Promise<void> => {
        for (const [node] of world.members) {
          const reply = await scenario.submit(GANG, CHECKPOINTED_GANG, node);
          assert.equal(reply.status, 200);
          assert.ok(stages.includes(stageOf(reply)), stageOf(reply));
          // A known job stays accepted, even if a retry asks for more tasks than could ever run.
          const other = world.submit(GANG, { gang: true, ...CHECKPOINTED_GANG }, node, {
            larvae: 90_000,
          });
          assert.equal((await scenario.awaitReply(other)).status, 200);
        }
      };
      const submissions = [
        scenario.submit(GANG, CHECKPOINTED_GANG, 'n0'),
        scenario.submit(GANG, CHECKPOINTED_GANG, 'n2'),
      ];
      const statuses = (await Promise.all(submissions)).map((one) => one.status).sort();
      assert.deepEqual(statuses, [200, 201]);
      await resubmit(['queued', 'running']);
      await scenario.awaitGangStart(20);
      await resubmit(['running']);
      await scenario.assertEnded(GANG, 'done', 90);
      await resubmit(['done']);
      assert.equal(scenario.starts().length, 1);
      assert.equal(world.starts.length, 4);
    },
  },
  {
    rule: 'submission',
    name: 'submitted again after it was cancelled: stays cancelled, no task starts',
    done: [],
    act: async (scenario) => {
      const { world } = scenario;
      await scenario.submitAndRun({ ...CHECKPOINTED_GANG, runS: 200 }, 5);
      await scenario.awaitReply(world.cancel(GANG, 'n1'));
      const reply = await scenario.submit(GANG, CHECKPOINTED_GANG, 'n2');
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
