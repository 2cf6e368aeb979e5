import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FINALS, readChunkKey, roleKey } from '../src/storage/keys.js';
import { LEADER, partRole } from '../src/coordination/roles.js';
import type { SimWorker } from './world/worker.js';
import type { SimJob } from './world/jobs.js';
import { FLEET } from './world/settings.js';
import { World } from './world/world.js';

const GANG = 'j-000001';
const OTHER = 'j-000002';
const SAVING = { checkpointS: 5, saveS: 3 };

interface Row {
  name: string;
  /** Zones of the machines that are there at the start; default: two and one. */
  zones?: string[];
  maxMachines?: number;
  act: (world: World) => Promise<void>;
  /** Jobs that must get done, asked at every node; default: the gang. */
  done?: string[];
}

const stage = (reply: { body: unknown }): string =>
  (reply.body as { stage?: string } | null)?.stage ?? '';

/** Lets simulated time run until a request is answered. */
async function settled<T>(world: World, request: Promise<T>): Promise<T> {
  let done = false;
  void request.finally(() => {
    done = true;
  });
  for (let turn = 0; turn < 400 && !done; turn++) await world.clock.run(world.clock.now() + 50);
  return request;
}

async function submit(world: World, id: string, job: Partial<SimJob>, at = 'n0'): Promise<void> {
  const reply = await settled(world, world.submit(id, { gang: true, ...job }, at));
  assert.equal(reply.status, 201, JSON.stringify(reply.body));
}

async function cancel(world: World, id: string, at = 'n0'): Promise<void> {
  assert.equal(stage(await settled(world, world.cancel(id, at))), 'withdrawn');
}

/** Runs on in small steps until something is so; what never comes fails the row. */
async function until(world: World, what: string, limitS: number, so: () => boolean): Promise<void> {
  for (const end = world.clock.now() + limitS * 1000; !so();) {
    assert.ok(world.clock.now() < end, `not within ${limitS} s: ${what}`);
    await world.run(0.05);
  }
}

function* tasksOf(world: World, id: string) {
  for (const worker of world.workers.values()) {
    for (const [name, task] of worker.tasks) {
      if (name.startsWith(`${id}/`)) yield { worker, name, task };
    }
  }
}

const some = (world: World, id: string, state: string): boolean =>
  [...tasksOf(world, id)].some(({ task }) => task.state === state);

const begun = (world: World, id: string) => world.gangStarts.filter((one) => one.job === id);

const begins = (world: World, id: string, limitS: number, times = 1): Promise<void> =>
  until(world, `${id} begins`, limitS, () => begun(world, id).length >= times);

/** The machine of one of its tasks. */
function holder(world: World, id: string): SimWorker {
  const [first] = tasksOf(world, id);
  assert.ok(first, `no machine holds ${id}`);
  return first.worker;
}

function owner(world: World, role: string): string {
  const record = world.state.cells.get(roleKey(role))?.value as { owner: string } | undefined;
  assert.ok(record, `nobody holds ${role}`);
  return record.owner;
}

/** The parts that hold something of a job. */
const partsOf = (world: World, id: string): string[] =>
  [...world.state.cells.keys()]
    .map(readChunkKey)
    .flatMap((chunk) => (chunk?.job === id ? [chunk.part] : []));

/** Kills the node that owns a part with tasks of the job; it is back 4 s later. */
async function killOwner(world: World, id: string): Promise<void> {
  const [part] = partsOf(world, id);
  assert.ok(part, `no part holds ${id}`);
  await restart(world, owner(world, partRole(part)));
}

async function restart(world: World, node: string): Promise<void> {
  world.kill(node);
  await world.run(4);
  world.boot(node);
}

/** All is over: the state at every node, and nothing of it left on machines or in the store. */
async function ends(world: World, ids: string[], state: string, limitS: number): Promise<void> {
  const waiting = new Set(ids);
  for (let passed = 0; passed < limitS && waiting.size > 0; passed += 2) {
    await world.run(2);
    for (const id of waiting) {
      if (stage(await settled(world, world.poll(id))) === state) waiting.delete(id);
    }
  }
  assert.deepEqual([...waiting], [], `not ${state} within ${limitS} s`);
  // Ends are written and forgotten in groups; machines that hung must report first.
  await world.run(60);
  for (const id of ids) {
    for (const [node] of world.members) {
      const reply = await settled(world, world.poll(id, node));
      assert.equal(stage(reply), state, `${id} at ${node}`);
    }
    const left = [...tasksOf(world, id)].map(
      ({ worker, name }) => `${name} ${worker.machine.name}`,
    );
    assert.deepEqual(left, [], 'left on machines');
    const keys = [...world.state.cells].flatMap(([key, cell]) =>
      !key.startsWith(FINALS) && (key.includes(id) || JSON.stringify(cell.value).includes(id))
        ? [key]
        : [],
    );
    assert.deepEqual(keys, [], 'left in the store');
  }
}

const ROWS: Row[] = [
  {
    name: 'three tasks in one place begin together',
    act: async (world) => {
      await submit(world, GANG, { tasks: 3, cpus: 2, oneZone: true });
      await begins(world, GANG, 10);
    },
  },
  {
    name: 'a gang that needs machines which must be rented',
    zones: ['a'],
    act: async (world) => {
      await submit(world, GANG, { tasks: 6, cpus: 2 });
      await begins(world, GANG, 60);
      assert.equal(new Set(world.starts.map((one) => one.machine)).size, 3);
    },
  },
  ...[true, false].map((noticed): Row => ({
    // The tasks that wait must not be left to wait for ever, nor may the lost one run twice.
    name: `a member's machine dies before the start, ${noticed ? 'and the cloud knows' : 'silently'}`,
    zones: ['a', 'a', 'a'],
    act: async (world) => {
      await submit(world, GANG, { tasks: 6, cpus: 2 });
      await until(world, 'a task fetches', 20, () => some(world, GANG, 'pulling'));
      const worker = holder(world, GANG);
      if (noticed) world.removeMachine(worker.machine.name);
      else worker.die();
    },
  })),
  ...[true, false].map((noticed): Row => ({
    name: `a member's machine dies after the start, ${noticed ? 'and the cloud knows' : 'silently'}`,
    zones: ['a', 'a', 'a'],
    act: async (world) => {
      await submit(world, GANG, { tasks: 6, cpus: 2, runS: 30, ...SAVING });
      await begins(world, GANG, 20);
      await world.run(12);
      const worker = holder(world, GANG);
      if (noticed) world.removeMachine(worker.machine.name);
      else worker.die();
      await begins(world, GANG, 120, 2);
    },
  })),
  {
    // Its mates are gone when it goes on: what it holds is of an attempt that is over.
    name: 'a machine hangs for 12 s in a running gang',
    zones: ['a', 'a', 'a'],
    act: async (world) => {
      await submit(world, GANG, { tasks: 4, cpus: 2, runS: 30, ...SAVING });
      await begins(world, GANG, 20);
      await world.run(5);
      holder(world, GANG).hang(12);
      await begins(world, GANG, 120, 2);
    },
  },
  {
    name: 'a machine hangs for 12 s while its mates gather',
    zones: ['a', 'a', 'a'],
    act: async (world) => {
      await submit(world, GANG, { tasks: 4, cpus: 2 });
      await until(world, 'a task fetches', 20, () => some(world, GANG, 'pulling'));
      holder(world, GANG).hang(12);
      await begins(world, GANG, 60);
    },
  },
  {
    // It stays a mate until its lease runs out: the gang runs on, and then ends for all.
    name: 'a member machine is cut from all nodes for longer than its lease',
    zones: ['a', 'a', 'a'],
    act: async (world) => {
      await submit(world, GANG, { tasks: 4, cpus: 2, runS: 60, ...SAVING });
      await begins(world, GANG, 20);
      await world.run(5);
      const { name } = holder(world, GANG).machine;
      for (const [node] of world.members) world.cuts.add(`${node}>${name}`);
      await world.run(45);
      world.cuts.clear();
    },
  },
  ...[100, 300, 600, 1000, 1500, 2000].map((ms): Row => ({
    name: `the leader is killed ${ms} ms after the gang was accepted`,
    act: async (world) => {
      await submit(world, GANG, { tasks: 4, cpus: 2, oneZone: true });
      await world.run(ms / 1000);
      await restart(world, owner(world, LEADER));
    },
  })),
  ...[0, 100, 300, 1200].map((ms): Row => ({
    // Places may be held for a gang of which nothing was started, or only some tasks.
    name: `a part's owner is killed ${ms} ms after the gang got to the part`,
    act: async (world) => {
      await submit(world, GANG, { tasks: 4, cpus: 2 });
      await until(world, 'a part holds the gang', 20, () => partsOf(world, GANG).length > 0);
      await world.run(ms / 1000);
      await killOwner(world, GANG);
    },
  })),
  {
    // A stop that reached only some of the tasks must be brought to its end by the next owner.
    name: "a part's owner is killed while a gang is stopped for an urgent one",
    zones: ['a', 'a', 'b', 'b'],
    maxMachines: 4,
    done: [GANG, OTHER],
    act: async (world) => {
      await submit(world, GANG, { team: 'blue', tasks: 6, cpus: 2, runS: 90, ...SAVING });
      await begins(world, GANG, 20);
      await world.run(12);
      await submit(world, OTHER, { tasks: 4, cpus: 2, urgent: true, runS: 15 });
      await until(world, 'the lower gang is told to stop', 30, () =>
        [...tasksOf(world, GANG)].some(
          ({ task }) => task.savedAt !== undefined || task.state === 'exited',
        ),
      );
      await killOwner(world, GANG);
      await begins(world, OTHER, 60);
    },
  },
  {
    // All must hear of it within the time that mates wait, or what was done is lost.
    name: 'a gang that is stopped for an urgent one saves, and goes on from there',
    zones: ['a', 'a', 'b', 'b'],
    maxMachines: 4,
    done: [GANG, OTHER],
    act: async (world) => {
      await submit(world, GANG, {
        ...{ team: 'blue', tasks: 6, cpus: 2, runS: 60 },
        ...{ checkpointS: 50, saveS: 3 },
      });
      await begins(world, GANG, 20);
      await world.run(20);
      await submit(world, OTHER, { tasks: 4, cpus: 2, urgent: true, runS: 15 });
      await begins(world, OTHER, 30);
      const savedMs = world.gangs.saved.get(GANG) ?? 0;
      assert.ok(savedMs >= 15_000, `saved ${savedMs} ms`);
    },
  },
  {
    name: "a part's owner is killed while a cancelled gang is stopped",
    done: [],
    act: async (world) => {
      await submit(world, GANG, { tasks: 4, cpus: 2, runS: 200, ...SAVING });
      await begins(world, GANG, 20);
      const [part] = partsOf(world, GANG);
      assert.ok(part, 'no part holds the gang');
      const node = owner(world, partRole(part));
      await cancel(world, GANG, world.members.find(([one]) => one !== node)?.[0]);
      await restart(world, node);
      await ends(world, [GANG], 'withdrawn', 55);
    },
  },
  {
    // A repeated start must neither run beside its successor nor complete an attempt that is over.
    name: 'direct calls come once more, soon and long after',
    zones: ['a', 'a', 'a', 'b'],
    done: [OTHER, 'j-000003'],
    act: async (world) => {
      for (const worker of world.workers.values()) worker.repeatDirectMs = [4000, 70_000];
      await submit(world, GANG, { tasks: 4, cpus: 2, urgent: true, runS: 40, ...SAVING });
      await begins(world, GANG, 20);
      await submit(world, OTHER, { team: 'blue', tasks: 3, cpus: 2, runS: 30, ...SAVING });
      await cancel(world, GANG);
      await submit(world, 'j-000003', { tasks: 4, cpus: 2, urgent: true, runS: 20 });
      await begins(world, 'j-000003', 60);
      await world.run(5);
      holder(world, 'j-000003').hang(12);
      await world.run(80);
      await ends(world, [GANG], 'withdrawn', 5);
      for (const worker of world.workers.values()) worker.repeatDirectMs = [];
    },
  },
  {
    name: 'direct calls are held for 9 s, unanswered',
    zones: ['a', 'a', 'a'],
    act: async (world) => {
      for (const worker of world.workers.values()) worker.holdDirectMs = 9000;
      await submit(world, GANG, { tasks: 4, cpus: 2 });
      await world.run(25);
      for (const worker of world.workers.values()) worker.holdDirectMs = 0;
    },
  },
  ...(['accepted', 'pulling', 'gathering', 'running'] as const).map((moment): Row => ({
    name: `cancelled when ${moment}: all is gone in time`,
    zones: moment === 'accepted' ? [] : ['a', 'a', 'a'],
    done: [OTHER],
    act: async (world) => {
      await submit(world, GANG, { tasks: 4, cpus: 2, runS: 200, ...SAVING });
      if (moment !== 'accepted') {
        await until(world, 'a task fetches', 20, () => some(world, GANG, 'pulling'));
      }
      if (moment === 'gathering') holder(world, GANG).hang(12);
      if (moment === 'running') await begins(world, GANG, 20);
      else if (moment !== 'accepted') {
        await until(world, moment, 20, () => some(world, GANG, moment));
      }
      await cancel(world, GANG, 'n1');
      await ends(world, [GANG], 'withdrawn', 55);
      // What was held for it is free again.
      await submit(world, OTHER, { tasks: 4, cpus: 2 });
      await begins(world, OTHER, 60);
    },
  })),
  {
    // Each holding half of what it needs, both would wait for ever.
    name: 'two gangs for one room, each more than half of it',
    zones: ['a', 'a', 'b', 'b'],
    maxMachines: 4,
    done: [GANG, OTHER],
    act: async (world) => {
      const both = [
        world.submit(GANG, { gang: true, tasks: 5, cpus: 2, runS: 20 }, 'n0'),
        world.submit(OTHER, { gang: true, team: 'blue', tasks: 5, cpus: 2, runS: 20 }, 'n1'),
      ];
      for (const one of both) assert.equal((await settled(world, one)).status, 201);
      await begins(world, GANG, 100);
      await begins(world, OTHER, 100);
    },
  },
  {
    name: 'larger than the machines of any part',
    zones: ['a', 'a', 'a', 'a', 'a', 'a', 'a', 'a'],
    act: async (world) => {
      await submit(world, GANG, { team: 'wide', tasks: 16, cpus: 2, oneZone: true });
      await begins(world, GANG, 30);
      assert.equal(new Set(world.starts.map((one) => one.machine)).size, 8);
    },
  },
  {
    name: 'over both zones where the job does not ask for one place',
    zones: ['a', 'a', 'b', 'b'],
    maxMachines: 4,
    act: async (world) => {
      await submit(world, GANG, { tasks: 8, cpus: 2 });
      await begins(world, GANG, 30);
      assert.equal(new Set(world.starts.map((one) => one.machine)).size, 4);
    },
  },
  {
    // A transaction of the world holds 8 changes; the store refuses a larger one.
    name: 'larger than one transaction, over many machines and all parts',
    zones: ['a', 'b', 'a', 'b', 'a', 'b', 'a', 'b', 'a', 'b'],
    maxMachines: 10,
    act: async (world) => {
      await submit(world, GANG, { team: 'wide', tasks: 20, cpus: 2, runS: 20 });
      await begins(world, GANG, 30);
      assert.equal(new Set(world.starts.map((one) => one.machine)).size, 10);
    },
  },
  {
    // A task that nobody has heard the end of still holds its zone.
    name: 'one place, its old tasks on machines that nobody hears',
    zones: ['a', 'a', 'b', 'b'],
    maxMachines: 4,
    act: async (world) => {
      await submit(world, GANG, { tasks: 4, cpus: 2, runS: 30, oneZone: true, ...SAVING });
      await begins(world, GANG, 20);
      await world.run(7);
      world.cloudTrouble = true;
      const [first, second] = new Set([...tasksOf(world, GANG)].map(({ worker }) => worker));
      assert.ok(first && second);
      first.hang(20);
      for (const [node] of world.members) world.cuts.add(`${node}>${second.machine.name}`);
      await world.run(35);
      world.cuts.clear();
      world.cloudTrouble = false;
    },
  },
  {
    name: 'refused: more than its team may use, or malformed',
    act: async (world) => {
      const body = {
        ...{ ref: GANG, lane: 'work', crew: 'red', shape: 'group', rank: 'normal', larvae: 8 },
        ...{ cores: 2, gpus: 0, memGb: 1, cocoon: 'img-1', imageGb: 1, breeds: null, grove: null },
        ...{ samePlace: false, apart: false, windfall: true, guessS: 10, moltS: 0, spinS: 0 },
        duskS: null,
      };
      const cases: [string, object, number][] = [
        ['one task more than the limit', { ...body, larvae: 9 }, 422],
        ['no task', { ...body, larvae: 0 }, 400],
        ['tasks missing', { ...body, larvae: undefined }, 400],
        ['cores missing', { ...body, cores: undefined }, 400],
      ];
      for (const [name, sent, status] of cases) {
        const reply = await settled(world, world.post(sent));
        assert.equal(reply.status, status, `${name}: ${JSON.stringify(reply.body)}`);
      }
      await submit(world, GANG, { tasks: 8, cpus: 2 });
    },
  },
  {
    name: 'its team is at its limit by other work: it waits, then runs',
    zones: ['a', 'a', 'a', 'b', 'b', 'b'],
    done: [GANG, OTHER],
    act: async (world) => {
      await submit(world, OTHER, { gang: false, tasks: 16, runS: 30 });
      await until(world, 'the array runs', 30, () => world.starts.length >= 16);
      await submit(world, GANG, { tasks: 4, cpus: 2 });
      await world.run(15);
      assert.equal(begun(world, GANG).length, 0);
      await begins(world, GANG, 60);
    },
  },
  {
    name: 'an urgent gang stops lower array work for room',
    zones: ['a', 'a', 'b', 'b'],
    maxMachines: 4,
    done: [GANG, OTHER, 'j-000003'],
    act: async (world) => {
      await submit(world, OTHER, { gang: false, team: 'blue', tasks: 12, runS: 100 });
      await submit(world, 'j-000003', { gang: false, tasks: 4, runS: 100 });
      await until(world, 'the arrays run', 30, () => world.starts.length >= 16);
      await submit(world, GANG, { tasks: 4, cpus: 2, urgent: true });
      await begins(world, GANG, 15);
    },
  },
  {
    // Room that ends piece by piece must be kept for it, or short work takes every piece.
    name: 'waits for room while short array work keeps coming, and begins within 60 s',
    zones: ['a', 'a', 'b', 'b'],
    maxMachines: 4,
    done: [GANG],
    act: async (world) => {
      let turn = 0;
      const more = async (): Promise<void> => {
        const job = { gang: false, team: turn % 2 ? 'blue' : 'red', tasks: 8, runS: 8 };
        await submit(world, `j-1000${10 + turn++}`, job);
      };
      for (let at = 0; at < 4; at++) await more();
      await until(world, 'the arrays run', 30, () => world.starts.length >= 12);
      await submit(world, GANG, { tasks: 4, cpus: 2 });
      const since = world.clock.now();
      while (begun(world, GANG).length === 0) {
        assert.ok(world.clock.now() - since < 60_000, 'waits for more than 60 s');
        await world.run(3);
        await more();
      }
      await ends(world, [GANG], 'done', 60);
    },
  },
  {
    // Room kept for a gang that can't begin is kept from others for nothing.
    name: 'arrays behind a gang that can not start soon get done',
    zones: ['a', 'a', 'b', 'b'],
    maxMachines: 4,
    done: [GANG, 'j-000010', 'j-000011', 'j-000012'],
    act: async (world) => {
      const service = { gang: false, service: true, spot: false, urgent: true, spread: true };
      await submit(world, OTHER, { ...service, tasks: 2, cpus: 2 });
      await until(world, 'the service runs', 20, () => world.starts.length >= 2);
      // The service leaves 6 CPUs in each zone, and no machine can be had in another's place.
      world.cloudTrouble = true;
      world.capacity = 0;
      await submit(world, GANG, { tasks: 4, cpus: 2, oneZone: true });
      await world.run(5);
      const arrays = ['j-000010', 'j-000011', 'j-000012'];
      for (const id of arrays) {
        await submit(world, id, { gang: false, team: 'blue', tasks: 12, runS: 10 });
      }
      await ends(world, arrays, 'done', 120);
      assert.equal(begun(world, GANG).length, 0);
      world.cloudTrouble = false;
      world.capacity = 4;
      await cancel(world, OTHER);
      await begins(world, GANG, 60);
    },
  },
];

for (const { name, zones, maxMachines, act, done } of ROWS) {
  test(`gang: ${name}`, async () => {
    const fleet = { ...FLEET, ...(maxMachines === undefined ? {} : { maxMachines }) };
    const world = new World(1, undefined, { fleet });
    for (const zone of zones ?? ['a', 'a', 'b']) world.addMachine('small', zone, false, 500);
    await world.run(6);
    await act(world);
    await ends(world, done ?? [GANG], 'done', 300);
    assert.deepEqual(world.broken, []);
  });
}
