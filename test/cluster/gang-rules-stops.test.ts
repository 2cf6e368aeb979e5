/** Rules for gangs: tasks that are lost or late, graceful stops, and shard holders that are killed. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { GANG_PEER_S, GANG_WAIT_S } from '../world/gang.js';
import {
  LEASE_S,
  CHECKPOINTED_GANG,
  URGENT_GANG,
  TWO_ZONE_GANG,
  playRule,
  type GangRuleCase,
} from '../world/gang-scenario.js';
import { GANG, OTHER_JOB } from '../world/gang-steps.js';
import type { SimWorker } from '../world/worker.js';
import { restartController, setOnAllWorkers } from '../world/fault-steps.js';

const ROWS: GangRuleCase[] = [
  // --- A task is lost ------------------------------------------------------------------------
  {
    rule: 'waiting',
    name: 'a machine is lost before the start: no task runs twice, all start under one attempt',
    act: async (scenario) => {
      const { world } = scenario;
      await scenario.submitAccepted(GANG, CHECKPOINTED_GANG);
      await scenario.runUntil('a task waits', 20, () =>
        scenario
          .machinesOf()
          .some((one) => [...one.tasksOnMachine()].length > 0 || one.tasks.size > 0),
      );
      scenario.machineOf().die();
      await scenario.awaitGangStart(120);
      const [start] = scenario.starts();
      for (const worker of scenario.machinesOf()) {
        for (const [task, held] of worker.tasksOnMachine()) {
          assert.equal(held.attempt, start?.attempt, task);
        }
      }
      await world.run(1);
    },
  },
  {
    rule: 'failure',
    name: 'a machine is lost after the start: the other tasks end in time, the first with mates_gone, and resume',
    act: async (scenario) => {
      const attempt = await scenario.submitAndRun(CHECKPOINTED_GANG, 12);
      const lost = scenario.machineOf();
      const diedAt = scenario.world.clock.now();
      const others = 4 - lost.tasks.size;
      lost.die();
      await scenario.world.run(GANG_PEER_S + 1);
      // The first task to notice exits with mates_gone; the controllers may then stop the rest earlier.
      const ends = scenario.recorder.endsOf(GANG, attempt);
      assert.equal(ends.length, others);
      assert.equal(ends[0]?.cause, 'mates_gone');
      for (const { task, cause, isProgressSaved } of ends) {
        assert.ok(
          cause === 'mates_gone' || (cause === 'stopped' && !isProgressSaved),
          `${task} ${cause}`,
        );
      }
      assert.ok(ends.every(({ at }) => at - diedAt <= GANG_PEER_S * 1000));
      assert.equal(scenario.savedS(), 10);
      await scenario.awaitGangStart(120, 2);
      await scenario.assertResumedFrom(10, 30);
    },
  },
  ...[12, LEASE_S + 16].map((forS): GangRuleCase => ({
    rule: 'failure',
    name: `a machine hangs for ${forS} s: its tasks start nowhere else while they may still run on it`,
    act: async (scenario) => {
      await scenario.submitAndRun(CHECKPOINTED_GANG, 7);
      scenario.machineOf().hang(forS);
      await scenario.awaitGangStart(120, 2);
      await scenario.assertResumedFrom(5, 30);
    },
  })),
  // --- Not complete in time ------------------------------------------------------------------
  {
    // One image takes longer to fetch than the other tasks wait: they exit as `alone`, and the
    // attempt ends.
    rule: 'waiting',
    name: 'the last image is fetched too late: the others exit as `alone`, and all restart together',
    act: async (scenario) => {
      const { world, recorder } = scenario;
      const gather = world.gangs.gather.bind(world.gangs);
      let slowWorker: SimWorker | null = null;
      let firstAttempt = 0;
      world.gangs.gather = (worker, task, held) => {
        slowWorker ??= worker;
        firstAttempt ||= held.attempt;
        if (worker === slowWorker && held.attempt === firstAttempt) held.state = 'pulling';
        else gather(worker, task, held);
      };
      await scenario.submitAccepted(GANG, CHECKPOINTED_GANG);
      await scenario.awaitGangStart(GANG_WAIT_S + 60);
      const [start] = scenario.starts();
      assert.ok(start && start.attempt > firstAttempt, 'a new attempt');
      const causes = new Set(recorder.endsOf(GANG, firstAttempt).map(({ cause }) => cause));
      assert.ok(causes.has('alone') || causes.has('stopped'), [...causes].join());
      assert.equal(
        recorder.endsOf(GANG, firstAttempt).length,
        4,
        'all of the first attempt have ended',
      );
    },
  },
  // --- Graceful stops ------------------------------------------------------------------------
  {
    rule: 'graceful stop',
    name: 'assignments in shards of several holders: all stop in time, and progress is kept',
    zones: ['a', 'a', 'b', 'b'],
    maxMachines: 4,
    done: [GANG, OTHER_JOB],
    act: async (scenario) => {
      const attempt = await scenario.submitAndRun({ ...TWO_ZONE_GANG, checkpointS: 50 }, 20);
      assert.ok(scenario.holdersOf().size >= 2, 'assignments in shards of several holders');
      await scenario.submitAccepted(OTHER_JOB, URGENT_GANG);
      await scenario.awaitGangStart(30, 1, OTHER_JOB);
      const ends = scenario.recorder.endsOf(GANG, attempt);
      assert.deepEqual(
        ends.map(({ cause, isProgressSaved }) => [cause, isProgressSaved]),
        ends.map(() => ['stopped', true]),
      );
      assert.equal(ends.length, 6);
      assert.ok(scenario.recorder.stopSpreadS(GANG, attempt) <= GANG_PEER_S);
      assert.ok(scenario.savedS() >= 20, `saved ${scenario.savedS()} s`);
      await scenario.assertResumedFrom(scenario.savedS(), 60);
    },
  },
  {
    // Only one shard holder preempts a task itself; it must notify the others in time.
    rule: 'graceful stop',
    name: 'one task is preempted in one zone: the assignments in the other zone stop in time as well',
    zones: ['a', 'a', 'b', 'b'],
    maxMachines: 4,
    done: [GANG, OTHER_JOB],
    act: async (scenario) => {
      const job = { ...TWO_ZONE_GANG, team: 'wide', tasks: 8, checkpointS: 50 };
      const attempt = await scenario.submitAndRun(job, 10);
      await scenario.submitAccepted(OTHER_JOB, {
        ...URGENT_GANG,
        gang: false,
        tasks: 1,
        zone: 'b',
      });
      await scenario.runUntil('the urgent task starts', 30, () =>
        scenario.world.starts.some(({ task }) => task === `${OTHER_JOB}/0`),
      );
      const ends = scenario.recorder.endsOf(GANG, attempt);
      assert.deepEqual(
        ends.map(({ cause, isProgressSaved }) => `${cause} ${isProgressSaved}`),
        Array.from({ length: 8 }, () => 'stopped true'),
      );
      assert.ok(scenario.recorder.stopSpreadS(GANG, attempt) <= GANG_PEER_S);
      assert.ok(scenario.savedS() >= 10, `saved ${scenario.savedS()} s`);
      await scenario.assertResumedFrom(scenario.savedS(), 60);
    },
  },
  {
    // If the next holder stops the remaining tasks too late, they lose their progress since the last
    // checkpoint.
    rule: 'graceful stop',
    name: 'a shard holder is killed at the first stop command: all tasks end, no checkpoint is lost',
    zones: ['a', 'a', 'b', 'b'],
    maxMachines: 4,
    done: [GANG, OTHER_JOB],
    act: async (scenario) => {
      const { world, recorder } = scenario;
      const attempt = await scenario.submitAndRun(TWO_ZONE_GANG, 22);
      await scenario.submitAccepted(OTHER_JOB, URGENT_GANG);
      await scenario.runUntil('the first stop command', 30, () => recorder.stopCommands.length > 0);
      const nodes = [...scenario.holdersOf()];
      const [node] = nodes;
      assert.ok(node && nodes.length >= 2, 'assignments in shards of several holders');
      await restartController(world, node, 4);
      await scenario.awaitGangStart(90, 1, OTHER_JOB);
      await scenario.awaitGangStart(120, 2);
      assert.equal(new Set(recorder.endsOf(GANG, attempt).map(({ task }) => task)).size, 6);
      assert.ok(scenario.savedS() >= 20, `saved ${scenario.savedS()} s`);
    },
  },
  {
    // The next holder receives no heartbeats from those machines, and must not place their tasks
    // elsewhere.
    rule: 'controllers killed',
    name: 'the shard holder is killed after it reserved all placements, and its starts arrive 9 s later',
    zones: ['a', 'a', 'a', 'a', 'a', 'a'],
    act: async (scenario) => {
      const { world } = scenario;
      setOnAllWorkers(world, { directDelayMs: 9000 });
      await scenario.submitAccepted(GANG, CHECKPOINTED_GANG);
      await scenario.runUntil(
        'all placements are reserved',
        20,
        () => scenario.reservedMachines().length === 4,
      );
      await world.run(0.05);
      assert.equal(world.starts.length, 0);
      const machines = new Set(scenario.reservedMachines());
      for (const worker of world.workers.values())
        worker.losesHeartbeats = machines.has(worker.machine.name);
      const [node] = scenario.holdersOf();
      assert.ok(node);
      await restartController(world, node, 4);
      await world.run(10);
      setOnAllWorkers(world, { directDelayMs: 0, losesHeartbeats: false });
      await scenario.awaitGangStart(90);
    },
  },
];

for (const row of ROWS) {
  test(`gang rule, ${row.rule}: ${row.name}`, () => playRule(row));
}
