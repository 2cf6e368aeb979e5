/** Gangs while the leader, or the holder of a shard that runs them, is killed. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LEADER, shardRole } from '../../src/coordination/election/role-election.js';
import {
  GANG,
  OTHER_JOB,
  RESTART_S,
  WITH_CHECKPOINTS,
  awaitGangStart,
  cancel,
  assertAllEnded,
  restartShardHolder,
  roleHolder,
  shardsOf,
  playGang,
  submit,
  tasksOf,
  runUntil,
  type GangCase,
} from '../world/gang-steps.js';
import { restartController } from '../world/fault-steps.js';

const ROWS: GangCase[] = [
  ...[100, 300, 600, 1000, 1500, 2000].map((ms): GangCase => ({
    name: `the leader is killed ${ms} ms after the gang was accepted`,
    act: async (world) => {
      await submit(world, GANG, { tasks: 4, cpus: 2, oneZone: true });
      await world.run(ms / 1000);
      await restartController(world, roleHolder(world, LEADER), RESTART_S);
    },
  })),
  ...[0, 100, 300, 1200].map((ms): GangCase => ({
    // Capacity may be reserved for a gang of which no task, or only some tasks, were started.
    name: `a shard's holder is killed ${ms} ms after the gang was assigned to the shard`,
    act: async (world) => {
      await submit(world, GANG, { tasks: 4, cpus: 2 });
      await runUntil(world, 'a shard holds the gang', 20, () => shardsOf(world, GANG).length > 0);
      await world.run(ms / 1000);
      await restartShardHolder(world, GANG);
    },
  })),
  {
    // The next holder must complete a stop that has reached only some of the tasks.
    name: "a shard's holder is killed while a gang is stopped for an urgent one",
    zones: ['a', 'a', 'b', 'b'],
    maxMachines: 4,
    done: [GANG, OTHER_JOB],
    act: async (world) => {
      await submit(world, GANG, { team: 'blue', tasks: 6, cpus: 2, runS: 90, ...WITH_CHECKPOINTS });
      await awaitGangStart(world, GANG, 20);
      await world.run(12);
      await submit(world, OTHER_JOB, { tasks: 4, cpus: 2, urgent: true, runS: 15 });
      await runUntil(world, 'the gang of lower priority is being stopped', 30, () =>
        [...tasksOf(world, GANG)].some(
          ({ task }) => task.savedAt !== undefined || task.state === 'exited',
        ),
      );
      await restartShardHolder(world, GANG);
      await awaitGangStart(world, OTHER_JOB, 60);
    },
  },
  {
    name: "a shard's holder is killed while a cancelled gang is stopped",
    done: [],
    act: async (world) => {
      await submit(world, GANG, { tasks: 4, cpus: 2, runS: 200, ...WITH_CHECKPOINTS });
      await awaitGangStart(world, GANG, 20);
      const [shard] = shardsOf(world, GANG);
      assert.ok(shard, 'no shard holds the gang');
      const node = roleHolder(world, shardRole(shard));
      await cancel(world, GANG, world.members.find(([one]) => one !== node)?.[0]);
      await restartController(world, node, RESTART_S);
      await assertAllEnded(world, [GANG], 'withdrawn', 55);
    },
  },
];

for (const row of ROWS) {
  test(`gang: ${row.name}`, () => playGang(row));
}
