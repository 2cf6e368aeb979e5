import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CHUNKS, nodeKey } from '../src/storage/keys.js';
import type { SimWorker } from './world/worker.js';
import { stageOf, type Reply, type SimJob } from './world/jobs.js';
import { World } from './world/world.js';

type Members = [string, string][];

/** Two troubles that meet. After every one the rules must hold, and all work must get done. */
interface Row {
  name: string;
  members?: Members;
  /** Zones of the machines that are up from the start. */
  zones?: string[];
  seeds?: number[];
  /** s from the end of the script until everything is looked at. */
  restS?: number;
  script: (world: World) => Promise<void>;
}

const SERVICE: Partial<SimJob> = { service: true, spot: false };
const URGENT: Partial<SimJob> = { ...SERVICE, urgent: true };

/** Lets simulated time run until a request is answered. */
async function settled<T>(world: World, request: Promise<T>): Promise<T> {
  let done = false;
  void request.finally(() => {
    done = true;
  });
  for (let turn = 0; turn < 200 && !done; turn++) await world.clock.run(world.clock.now() + 50);
  return request;
}

const names = (world: World): string[] => world.members.map(([name]) => name);
const workersIn = (world: World, zone: string): SimWorker[] =>
  [...world.workers.values()].filter((one) => one.machine.zone === zone);

async function submit(world: World, id: string, job: Partial<SimJob>, at?: string): Promise<void> {
  const node = at ?? [...world.nodes.keys()][0];
  const reply = await settled(world, world.submit(id, job, node));
  assert.equal(reply.status, 201, `${id}: ${JSON.stringify(reply.body)}`);
}

/** Asks until it is confirmed, as users do; each time the next node that is up. */
async function cancel(world: World, id: string, nodes: string[], tries = 20): Promise<Reply> {
  let reply: Reply = { status: 0, body: null };
  for (let turn = 0; turn < tries; turn++) {
    reply = await settled(world, world.cancel(id, nodes[turn % nodes.length]));
    if (reply.status === 200) return reply;
    await world.run(1);
  }
  return reply;
}

/** Services of both teams on all machines, and arrays beside them. */
async function load(world: World): Promise<void> {
  await submit(world, 'j-000001', { ...SERVICE, tasks: 4 });
  await submit(world, 'j-000002', { ...URGENT, team: 'blue', tasks: 4 });
  await submit(world, 'j-000003', { tasks: 4, runS: 60 });
  await submit(world, 'j-000004', { ...SERVICE, team: 'blue', tasks: 3 });
  await submit(world, 'j-000005', { team: 'blue', tasks: 6, runS: 20 });
  await world.run(14);
}

/** The state service is out for all; what runs meanwhile is given by the seconds passed. */
async function outage(
  world: World,
  seconds: number,
  during: Record<number, () => void> = {},
): Promise<void> {
  world.state.outage = true;
  for (const [at, run] of Object.entries(during)) world.clock.after(Number(at) * 1000, run);
  await world.run(seconds);
  world.state.endOutage();
}

function cutOff(world: World, nodes: string[], machines: Iterable<string>): void {
  for (const machine of machines) for (const node of nodes) world.cuts.add(`${node}>${machine}`);
}

interface Gap {
  /** s after the beginning of the outage; below 0: before it. */
  endsS: number;
  holdMs?: number;
  hangS?: number;
  restart?: boolean;
  /** Cancelled before the outage; the rest of the world's jobs go on. */
  jobs?: string[];
}

/** Refused alone, then jobs are cancelled through another node, then out for all beyond cancel_s. */
const gap =
  ({ endsS, holdMs, hangS, restart, jobs = ['j-000001', 'j-000002', 'j-000003'] }: Gap) =>
  async (world: World): Promise<void> => {
    await load(world);
    const old = world.leader;
    world.state.refused.add(old);
    const others = names(world).filter((name) => name !== old);
    if (holdMs) {
      // Sent just before: these starts are still on their way when their job is cancelled.
      world.state.refused.clear();
      for (const worker of world.workers.values()) worker.holdDirectMs = holdMs;
      await submit(world, 'j-000009', { ...URGENT, tasks: 3 }, others[0]);
      await world.run(0.6);
      world.state.refused.add(old);
    }
    await world.run(1);
    if (hangS) for (const worker of world.workers.values()) worker.hang(hangS);
    for (const id of [...jobs, ...(holdMs ? ['j-000009'] : [])]) {
      const reply = await cancel(world, id, others, 2);
      assert.equal(stageOf(reply), 'withdrawn', id);
    }
    if (endsS < 0) world.state.refused.clear();
    const during: Record<number, () => void> = {};
    if (endsS >= 0 && endsS < 63) during[endsS] = () => world.state.refused.clear();
    if (restart) {
      during[20] = () => world.kill(old);
      during[21] = () => world.boot(old);
    }
    await outage(world, 63, during);
    if (endsS >= 63) await world.run(endsS - 63);
    world.state.refused.clear();
    for (const worker of world.workers.values()) worker.holdDirectMs = 0;
    await world.run(5);
  };

/** The leader is killed and back at once; another one has taken over first if it is slow. */
async function change(world: World, downS: number): Promise<void> {
  const name = world.leader;
  world.kill(name);
  await world.run(downS);
  world.boot(name);
}

const SHORT: Partial<SimJob> = { tasks: 40, runS: 3 };

const ROWS: Row[] = [
  ...[
    { what: 'refusal ends before the outage', endsS: -1 },
    { what: 'refusal ends inside the outage', endsS: 25 },
    { what: 'refusal ends after the outage', endsS: 70 },
    { what: 'starts in flight', endsS: 70, holdMs: 9000 },
    { what: 'machines hang at the cancellation', endsS: 70, hangS: 20 },
    { what: 'machines hang, refusal ends inside', endsS: 30, hangS: 20 },
    { what: 'the old owner restarts inside', endsS: 70, restart: true },
    {
      what: 'the old owner restarts inside, starts in flight',
      endsS: 25,
      holdMs: 9000,
      restart: true,
    },
  ].map(({ what, ...options }) => ({ name: `gap: ${what}`, seeds: [1, 2], script: gap(options) })),
  {
    name: 'gap: two nodes, each the only one of its zone',
    members: [
      ['n0', 'a'],
      ['n1', 'b'],
    ],
    script: gap({ endsS: 70, hangS: 12 }),
  },
  {
    name: 'a refused node: its lease ends, and its open watches wait',
    script: async (world) => {
      await submit(world, 'j-000001', { tasks: 3, runS: 60 });
      const [old, key] = [world.leader, nodeKey(world.leader)];
      assert.ok(world.state.cells.has(key));
      let told: unknown = null;
      void world.state
        .api(old)
        .watch('trial/', world.state.revision, 10_000)
        .then((result) => (told = result));
      await world.run(0.5);
      world.state.refused.add(old);
      world.state.change([{ key: 'trial/x', value: 1 }]);
      await world.run(8);
      assert.equal(told, null, 'watch answered while refused');
      assert.equal(world.state.cells.has(key), false, 'lease did not end');
      assert.notEqual(world.leader, old);
      world.state.refused.clear();
      await world.run(1);
      assert.notEqual(told, null);
    },
  },
  {
    name: 'ten changes of leader in two minutes',
    seeds: [1, 2],
    script: async (world) => {
      await load(world);
      for (let turn = 0; turn < 10; turn++) {
        await change(world, 8);
        if (turn === 4) await cancel(world, 'j-000002', names(world));
        await world.run(4);
      }
    },
  },
  {
    name: 'ten changes of leader in two minutes, an outage inside',
    seeds: [1, 2],
    script: async (world) => {
      await load(world);
      for (let turn = 0; turn < 10; turn++) {
        if (turn === 4) world.state.outage = true;
        if (turn === 7) world.state.endOutage();
        await change(world, turn % 2 ? 0.3 : 8);
        if (turn === 3) await cancel(world, 'j-000002', names(world));
        await world.run(turn % 2 ? 11 : 4);
      }
    },
  },
  {
    name: 'takeover by a node that is killed and back within 0.3 s',
    seeds: [1, 2],
    script: async (world) => {
      await load(world);
      const old = world.leader;
      world.kill(old);
      for (let turn = 0; turn < 200 && world.leader === old; turn++) {
        await world.clock.run(world.clock.now() + 50);
      }
      await change(world, 0.3);
      await cancel(world, 'j-000001', names(world));
      world.boot(old);
      await world.run(0.3);
      await change(world, 0.3);
      await world.run(20);
    },
  },
  ...[false, true].map((alone) => ({
    name: `a leader without state service and peers ${alone ? 'alone reaches its workers' : 'has workers and users'}; others cancel`,
    seeds: [1, 2],
    script: async (world: World) => {
      await load(world);
      const old = world.leader;
      world.state.refused.add(old);
      for (const name of names(world)) if (name !== old) world.cuts.add(`${old}>${name}`);
      await world.run(1);
      const others = names(world).filter((name) => name !== old);
      // Nobody else can stop what runs there, and nothing is taken back: only leases end it.
      if (alone) cutOff(world, others, world.workers.keys());
      world.cloudTrouble = alone;
      for (const id of ['j-000001', 'j-000002', 'j-000003']) {
        assert.equal(stageOf(await cancel(world, id, others)), 'withdrawn');
        const reply = await settled(world, world.poll(id, old));
        assert.ok(reply.status === 503 || stageOf(reply) === 'withdrawn', JSON.stringify(reply));
      }
      for (let turn = 0; turn < 30; turn++) {
        await settled(world, world.poll('j-000001', old));
        await world.run(2);
      }
      world.state.refused.clear();
      world.cuts.clear();
      world.cloudTrouble = false;
    },
  })),
  ...[false, true].map((killed) => ({
    name: `late writes: short tasks in many chunks${killed ? ', leaders killed' : ''}`,
    seeds: [1, 2],
    restS: 200,
    script: async (world: World) => {
      world.state.lateShare = 0.3;
      for (let turn = 0; turn < 6; turn++) {
        const job = turn % 2 ? { ...SHORT, team: 'blue', urgent: true } : SHORT;
        void world.submit(`j-00000${turn}`, { ...job, spread: turn === 3 }, `n${turn % 3}`);
        await world.run(5);
        if (killed && turn % 2) await change(world, turn === 3 ? 8 : 0.3);
        await world.run(5);
      }
      world.state.lateShare = 0;
    },
  })),
  ...[false, true].map((killed) => ({
    name: `late writes: tasks given back for lack of room${killed ? ', leaders killed' : ''}`,
    zones: ['a', 'b'],
    seeds: [1, 2],
    restS: 200,
    script: async (world: World) => {
      // Machines that do not hear get nothing: what their part was given goes back, soon if urgent.
      world.state.lateShare = 0.3;
      for (let turn = 0; turn < 5; turn++) {
        const [worker] = workersIn(world, turn % 2 ? 'b' : 'a');
        if (worker) worker.deaf = true;
        void world.submit(`j-00000${turn}`, { tasks: 6, runS: 15, urgent: true });
        await world.run(10);
        if (killed && turn % 2) await change(world, 0.3);
        if (worker) worker.deaf = false;
        await world.run(2);
      }
      world.state.lateShare = 0;
    },
  })),
  {
    // The first copy of a chunk's creation is held; its repeat is carried out, the chunk is given
    // back and removed, and its task runs elsewhere when the first copy arrives.
    name: 'late writes: the creation of a chunk that was given back meanwhile',
    members: [
      ['n0', 'a'],
      ['n1', 'b'],
    ],
    zones: ['a'],
    script: async (world) => {
      world.capacity = 0;
      await submit(world, 'j-000001', { ...URGENT, tasks: 1 });
      await world.run(10);
      const [first] = world.workers.values();
      assert.ok(first);
      first.deaf = true;
      // Its start goes unanswered: from then on the part waits for a proof before it places more.
      await submit(world, 'j-000002', { ...URGENT, tasks: 1 });
      await world.run(2.6);
      let held = '';
      let absent: boolean | null = null;
      world.state.hold = (_node, changes) => {
        const made = changes.find((one) => one.key.includes('/j-000003/') && 'value' in one);
        if (held !== '' || !made?.key.startsWith(CHUNKS)) return null;
        held = made.key;
        world.clock.after(11_999, () => {
          absent = !world.state.cells.has(held);
        });
        return 12_000;
      };
      await submit(world, 'j-000003', { tasks: 1, runS: 60, urgent: true });
      // Room for it elsewhere, and, once it runs there, room in the part of the held chunk.
      world.addMachine('small', 'b', false, 5500);
      world.addMachine('small', 'a', false, 11_400);
      await world.run(13);
      first.deaf = false;
      await world.run(5);
      assert.ok(held !== '', 'no creation was held');
      assert.equal(absent, true, 'the chunk was still there');
    },
  },
  {
    name: 'cancel, question and repeated submission at the end of the last task',
    seeds: [1, 2],
    script: async (world) => {
      const ids = Array.from({ length: 12 }, (_, at) => `j-0000${at + 10}`);
      for (const [at, id] of ids.entries()) {
        const team = at % 2 ? 'red' : 'blue';
        await submit(world, id, { tasks: 1, runS: 20, team }, `n${at % 3}`);
      }
      await world.run(10);
      const begun = new Map(world.starts.map((one) => [one.task, one.at]));
      let answered = 0;
      for (const [at, id] of ids.entries()) {
        const start = begun.get(`${id}/0`);
        assert.ok(start !== undefined, `${id} has not begun`);
        const moment = start + 20_000 - 900 + at * 300 - world.clock.now();
        world.clock.after(moment, () => {
          for (const node of names(world)) {
            void world.poll(id, node);
            void world.submit(id, { tasks: 1 }, node);
          }
          void world.cancel(id, `n${at % 3}`).then((reply) => {
            if (reply.status === 200) answered++;
          });
        });
      }
      await world.run(25);
      assert.equal(answered, ids.length);
      const ends = new Set([...world.told.values()].map((one) => one.stage));
      assert.deepEqual([...ends].sort(), ['done', 'withdrawn']);
      for (const id of ids) {
        for (const node of names(world)) {
          const reply = await settled(world, world.submit(id, {}, node));
          assert.deepEqual([reply.status, stageOf(reply)], [200, world.told.get(id)?.stage]);
        }
      }
    },
  },
  {
    name: 'a team at its limit: leader killed, machines cut, nothing taken back, a cancellation',
    seeds: [1, 2],
    script: async (world) => {
      await submit(world, 'j-000001', { ...SERVICE, team: 'blue', tasks: 8 });
      await submit(world, 'j-000002', { ...SERVICE, team: 'blue', tasks: 4 });
      await world.run(30);
      assert.equal(world.starts.length, 12);
      await submit(world, 'j-000003', { team: 'blue', tasks: 6, runS: 10 });
      world.cloudTrouble = true;
      // Those with the most tasks: what can't be asked counts under the limit until its lease ends.
      const full = [...world.workers.values()].sort((x, y) => y.tasks.size - x.tasks.size);
      cutOff(
        world,
        names(world),
        full.slice(0, 2).map((one) => one.machine.name),
      );
      await world.run(1);
      const old = world.leader;
      world.kill(old);
      await world.run(3);
      await cancel(
        world,
        'j-000001',
        names(world).filter((name) => name !== old),
      );
      await world.run(60);
      world.boot(old);
      world.cuts.clear();
      world.cloudTrouble = false;
      await world.run(90);
      assert.ok(
        world.starts.some((one) => one.task.startsWith('j-000003/')),
        'waits for ever',
      );
    },
  },
  ...[{ oneZone: true }, { spread: true }, { zone: 'a' }].map((bound) => ({
    name: `a job bound by ${JSON.stringify(bound)} loses machines, not proven gone`,
    zones: ['a', 'a', 'a', 'b', 'b'],
    seeds: [1, 2],
    restS: 240,
    script: async (world: World) => {
      world.cloudTrouble = true;
      await submit(world, 'j-000001', { ...bound, tasks: 8, runS: 40, team: 'blue' });
      await submit(world, 'j-000002', { ...SERVICE, ...bound, tasks: 6 });
      await world.run(16);
      const used = [...world.workers.values()].filter((one) => one.tasks.size > 0);
      cutOff(
        world,
        names(world),
        used.slice(0, 2).map((one) => one.machine.name),
      );
      await world.run(20);
      await change(world, 8);
      await world.run(30);
      world.cuts.clear();
      world.cloudTrouble = false;
    },
  })),
  {
    name: 'reports held back and copied late, over a handover and back within a second',
    seeds: [1, 2],
    script: async (world) => {
      await load(world);
      for (const worker of world.workers.values())
        worker.copyAfterMs = [2000, 9000, 23_000, 40_000];
      await world.run(6);
      for (const worker of world.workers.values()) worker.holdReportsMs = 6000;
      await world.run(2);
      await change(world, 8);
      for (const worker of world.workers.values()) worker.holdReportsMs = 0;
      await world.run(1);
      await change(world, 0.3);
      await cancel(world, 'j-000002', names(world));
      await change(world, 0.6);
      await world.run(50);
      for (const worker of world.workers.values()) worker.copyAfterMs = [];
    },
  },
  {
    name: 'mute machines: leases end, tasks restart elsewhere, direct stops arrive',
    seeds: [1, 2],
    zones: ['a', 'a', 'a', 'b'],
    script: async (world) => {
      await submit(world, 'j-000001', { ...URGENT, tasks: 6 });
      await submit(world, 'j-000002', { ...SERVICE, team: 'blue', tasks: 6 });
      await world.run(16);
      const mute = [...world.workers.values()].filter((one) => one.tasks.size > 0).slice(0, 2);
      const lost = new Set(mute.map((one) => one.machine.name));
      const on = (id: string): string[] =>
        mute.flatMap((one) => [...one.tasks.keys()].filter((task) => task.startsWith(id)));
      const restart = on('j-000001').filter((task) => task.startsWith('j-000001/'));
      assert.ok(mute.length === 2 && on('j-00000').length > 0);
      for (const worker of mute) worker.mute = true;
      // Only the ends of their leases prove that their tasks are gone.
      world.cloudTrouble = true;
      await world.run(1);
      const mutedAt = world.clock.now();
      await cancel(world, 'j-000002', names(world));
      await world.run(3);
      const ended = mute.flatMap((one) =>
        [...one.onMachine()].filter(([task]) => task.startsWith('j-000002/')),
      );
      assert.deepEqual(ended, [], 'direct stops did not arrive');
      await world.run(70);
      const late = world.starts.filter((one) => lost.has(one.machine) && one.at > mutedAt + 12_000);
      assert.deepEqual(late, [], 'new work on a mute machine');
      for (const task of restart) {
        assert.ok(
          world.starts.some((one) => one.task === task && !lost.has(one.machine)),
          `${task} did not start elsewhere`,
        );
      }
      for (const worker of mute) worker.mute = false;
      world.cloudTrouble = false;
    },
  },
  {
    name: 'a zone with its node and workers is cut off for longer than a lease',
    seeds: [1, 2],
    zones: ['a', 'a', 'b', 'b'],
    script: async (world) => {
      await load(world);
      await submit(world, 'j-000006', { ...SERVICE, zone: 'b', tasks: 2 });
      await world.run(8);
      const inside = world.members.filter(([, zone]) => zone === 'b').map(([name]) => name);
      const outside = names(world).filter((name) => !inside.includes(name));
      for (const name of inside) world.state.refused.add(name);
      cutOff(world, inside, [...outside, ...workersIn(world, 'a').map((one) => one.machine.name)]);
      cutOff(
        world,
        outside,
        workersIn(world, 'b').map((one) => one.machine.name),
      );
      await world.run(1);
      await cancel(world, 'j-000006', outside);
      await cancel(world, 'j-000001', outside);
      await world.run(70);
      world.cuts.clear();
      world.state.refused.clear();
    },
  },
  {
    name: 'all controllers are away for longer than a lease, after a cancellation',
    seeds: [1, 2],
    script: async (world) => {
      await load(world);
      await cancel(world, 'j-000002', names(world));
      for (const name of names(world)) world.kill(name);
      await world.run(40);
      for (const name of names(world)) world.boot(name);
    },
  },
  {
    name: 'a job of three tasks, one after the other, over two changes of leader',
    zones: ['a'],
    script: async (world) => {
      world.capacity = 0;
      await submit(world, 'j-000001', { tasks: 3, cpus: 4, runS: 25 });
      await world.run(15);
      await change(world, 9);
      await world.run(30);
      await change(world, 0.3);
      await world.run(30);
    },
  },
  {
    name: 'the state service answers slowly, then refuses the leader, while users cancel and ask',
    script: async (world) => {
      await load(world);
      world.state.answerMs = 1200;
      for (const id of ['j-000001', 'j-000002']) {
        await cancel(world, id, names(world));
        for (const node of names(world)) {
          const reply = await settled(world, world.poll(id, node));
          assert.ok(reply.status === 503 || stageOf(reply) === 'withdrawn', JSON.stringify(reply));
        }
      }
      world.state.refused.add(world.leader);
      await cancel(world, 'j-000003', names(world));
      await world.run(4);
      await outage(world, 55);
      world.state.answerMs = 5;
      world.state.refused.clear();
    },
  },
  {
    name: 'more work than room, urgent and not, over slow links',
    restS: 260,
    script: async (world) => {
      world.linkMs = 600;
      for (let at = 0; at < 8; at++) {
        const urgent = at % 2 === 0;
        const job = { tasks: urgent ? 2 : 10, runS: 12, urgent, team: at % 4 < 2 ? 'red' : 'blue' };
        await submit(world, `j-00000${at}`, job);
      }
      await world.run(60);
      world.linkMs = 1;
    },
  },
  {
    name: 'services that fill a limit but for a little, while an array of the team waits',
    script: async (world) => {
      await submit(world, 'j-000001', { ...URGENT, tasks: 7, cpus: 2 });
      await world.run(60);
      assert.equal(world.starts.length, 7);
      await submit(world, 'j-000002', { tasks: 2, runS: 10 });
      await world.run(90);
      assert.ok(
        world.starts.some((one) => one.task.startsWith('j-000002/')),
        'waits though its team is under its limit and machines have room',
      );
    },
  },
];

for (const { name, members, zones = ['a', 'a', 'b'], seeds = [1], restS = 130, script } of ROWS) {
  for (const seed of seeds) {
    test(`meeting: ${name} (seed ${seed})`, async (t) => {
      const world = new World(seed, members);
      for (const zone of zones) world.addMachine('small', zone, false, 500);
      await world.run(7);
      await script(world);
      await world.run(restS);
      t.diagnostic(`starts after a confirmed cancellation: ${world.startsAfterCancel.length}`);
      assert.deepEqual(world.broken, []);
      for (const id of world.accepted) {
        const job = world.jobs.get(id);
        const want = world.told.get(id)?.stage ?? (job?.service ? 'running' : 'done');
        for (const node of names(world)) {
          const reply = await settled(world, world.poll(id, node));
          assert.equal(stageOf(reply), want, `${id} at ${node}: ${reply.status}`);
        }
      }
      // These answers are judged too.
      assert.deepEqual(world.broken, []);
    });
  }
}

/** What users send by mistake, and what each must get. */
const FIELDS = [
  'ref', 'lane', 'crew', 'shape', 'rank', 'larvae', 'cores', 'gpus', 'memGb', 'cocoon', 'imageGb',
  'samePlace', 'apart', 'windfall', 'guessS', 'moltS', 'spinS',
]; // prettier-ignore
const ODD: { name: string; raw: Record<string, unknown>; status: number }[] = [
  ...FIELDS.map((field) => ({ name: `no ${field}`, raw: { [field]: undefined }, status: 400 })),
  ...FIELDS.map((field) => ({ name: `${field} null`, raw: { [field]: null }, status: 400 })),
  ...['breeds', 'grove', 'duskS'].map((field) => ({
    name: `no ${field}`,
    raw: { [field]: undefined },
    status: 201,
  })),
  { name: 'unknown team', raw: { crew: 'nobody' }, status: 422 },
  { name: 'unknown type', raw: { breeds: ['g99'] }, status: 422 },
  { name: 'no type allowed', raw: { breeds: [] }, status: 422 },
  { name: 'a task larger than any machine', raw: { cores: 5 }, status: 422 },
  { name: 'more memory than any machine', raw: { memGb: 17 }, status: 422 },
  { name: 'a GPU that no team has', raw: { gpus: 1 }, status: 422 },
  { name: 'a zone without machines', raw: { grove: 'z' }, status: 422 },
  { name: 'a service beyond the limit', raw: { shape: 'standing', larvae: 17 }, status: 422 },
  { name: 'tasks as text', raw: { larvae: '4' }, status: 400 },
  { name: 'no tasks', raw: { larvae: 0 }, status: 400 },
  { name: 'half a task', raw: { larvae: 1.5 }, status: 400 },
  { name: 'too many tasks', raw: { larvae: 100_001 }, status: 400 },
  { name: 'CPUs as text', raw: { cores: 'x' }, status: 400 },
  { name: 'no CPU', raw: { cores: 0 }, status: 400 },
  { name: 'negative memory', raw: { memGb: -1 }, status: 400 },
  { name: 'unknown rank', raw: { rank: 'soon' }, status: 400 },
  { name: 'unknown shape', raw: { shape: 'gang' }, status: 400 },
  { name: 'a flag as text', raw: { samePlace: 'yes' }, status: 400 },
  { name: 'types as text', raw: { breeds: 'small' }, status: 400 },
  { name: 'a number as zone', raw: { grove: 7 }, status: 400 },
  { name: 'an id of another form', raw: { ref: 'x-1' }, status: 400 },
  { name: 'a deadline as text', raw: { duskS: 'noon' }, status: 400 },
];

test('odd requests: each gets what the protocol says, many at once', async () => {
  const world = new World(1);
  for (const zone of ['a', 'b']) world.addMachine('small', zone, false, 500);
  await world.run(7);
  const replies = ODD.map(({ raw }, at) =>
    world.submit(`j-1000${at + 10}`, { tasks: 1 }, `n${at % 3}`, raw),
  );
  await world.run(8);
  const wrong: string[] = [];
  for (const [at, { name, status }] of ODD.entries()) {
    const reply = await settled(world, replies[at] ?? Promise.reject(new Error('not sent')));
    if (reply.status !== status) wrong.push(`${name}: ${reply.status} instead of ${status}`);
  }
  assert.deepEqual(wrong, []);
  assert.deepEqual(world.broken, []);
});

test('odd requests: repeats, also with faults, and cancellations of what is done', async () => {
  const world = new World(2);
  for (const zone of ['a', 'b']) world.addMachine('small', zone, false, 500);
  await world.run(7);
  const at = names(world);
  // The same submission through all nodes at once: accepted once, known to the others.
  const first = at.map((node) => world.submit('j-000001', { tasks: 2, runS: 30 }, node));
  const statuses = await Promise.all(first.map(async (one) => (await settled(world, one)).status));
  assert.deepEqual(statuses.sort(), [200, 200, 201]);
  await submit(world, 'j-000002', { tasks: 1, runS: 5 });
  await world.run(15);
  for (const raw of [{}, { larvae: 0 }, { crew: 'nobody' }, { gpus: undefined }]) {
    for (const node of at) {
      const reply = await settled(world, world.submit('j-000001', {}, node, raw));
      assert.deepEqual([reply.status, stageOf(reply)], [200, 'running'], JSON.stringify(raw));
      const over = await settled(world, world.submit('j-000002', {}, node, raw));
      assert.deepEqual([over.status, stageOf(over)], [200, 'done'], JSON.stringify(raw));
    }
  }
  for (const node of at) {
    const reply = await settled(world, world.cancel('j-000002', node));
    assert.deepEqual([reply.status, stageOf(reply)], [200, 'done']);
    for (const ask of [world.poll('j-000009', node), world.cancel('j-000009', node)]) {
      assert.equal((await settled(world, ask)).status, 404);
    }
  }
  await world.run(60);
  assert.equal(stageOf(await settled(world, world.poll('j-000001', 'n2'))), 'done');
  assert.deepEqual(world.broken, []);
});

test('odd requests: nothing is accepted before the machine types are known', async () => {
  const world = new World(3);
  world.catalog = false;
  await world.run(7);
  for (const node of names(world)) {
    for (const raw of [{}, { breeds: ['g99'] }, { cores: 5 }]) {
      const reply = await settled(world, world.submit('j-000001', { tasks: 1 }, node, raw));
      assert.equal(reply.status, 503, JSON.stringify(raw));
    }
    assert.equal(
      (await settled(world, world.submit('j-000002', {}, node, { cores: 'x' }))).status,
      400,
    );
  }
  world.catalog = true;
  for (let turn = 0; turn < 90 && world.accepted.size === 0; turn++) {
    await settled(world, world.submit('j-000001', { tasks: 1 }, 'n1'));
    await world.run(1);
  }
  await world.run(60);
  assert.equal(stageOf(await settled(world, world.poll('j-000001'))), 'done');
  assert.deepEqual(world.broken, []);
});

// An owner that the state service refuses answers its workers for a grace; the word of the peer that
// confirmed a cancellation ends the tasks long before.
test('meeting: what a peer has confirmed stops tasks at once, though the store refuses their owner', async () => {
  const world = new World(1);
  for (const zone of ['a', 'a', 'b']) world.addMachine('small', zone, false, 500);
  await world.run(7);
  await submit(world, 'j-000001', { ...SERVICE, zone: 'b', tasks: 2 });
  await world.run(14);
  for (const node of names(world).slice(1)) world.kill(node);
  await world.run(12);
  world.boot('n1');
  await world.run(1);
  // n0 owns the part of zone b, whose node stays away, and hears nothing from the store.
  const placed = (): number =>
    [...world.workers.values()].flatMap((worker) => [...worker.onMachine()]).length;
  assert.equal(placed(), 2);
  world.state.refused.add('n0');
  assert.equal(stageOf(await cancel(world, 'j-000001', ['n1'])), 'withdrawn');
  await world.run(4);
  assert.equal(placed(), 0);
  assert.deepEqual(world.broken, []);
});
