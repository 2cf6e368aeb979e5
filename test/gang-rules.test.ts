import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FINALS, readChunkKey, roleKey } from '../src/storage/keys.js';
import type { ChunkRecord } from '../src/storage/records.js';
import { partRole } from '../src/coordination/roles.js';
import { GANG_PEER_S, GANG_WAIT_S } from './world/gang.js';
import { GangWatch } from './world/gang-watch.js';
import type { SimWorker } from './world/worker.js';
import { stageOf, type Reply, type SimJob } from './world/jobs.js';
import { FLEET } from './world/settings.js';
import { World } from './world/world.js';

const GANG = 'j-000001';
const OTHER = 'j-000002';
const LEASE_S = 24;
const SAVING = { checkpointS: 5, saveS: 3 };
/** Four tasks on two machines, or more, of which each can save. */
const LONG: Partial<SimJob> = { tasks: 4, cpus: 2, runS: 30, ...SAVING };
const WIDE: Partial<SimJob> = { team: 'blue', tasks: 6, cpus: 2, runS: 60, ...SAVING };
const URGENT: Partial<SimJob> = { tasks: 4, cpus: 2, urgent: true, runS: 15 };

interface Row {
  /** The rule of the operators' page. */
  rule: string;
  name: string;
  /** Zones of the machines that are there at the start; default: three in one. */
  zones?: string[];
  maxMachines?: number;
  act: (hand: Hand) => Promise<void>;
  /** Jobs that must get done; default: the gang. */
  done?: string[];
}

/** What a row has in hand: the world, what is recorded of it, and steps through time. */
class Hand {
  readonly watch: GangWatch;

  constructor(readonly world: World) {
    this.watch = new GangWatch(world);
  }

  /** Lets simulated time run until a request is answered. */
  async settled(request: Promise<Reply>): Promise<Reply> {
    let done = false;
    void request.finally(() => {
      done = true;
    });
    for (let turn = 0; turn < 400 && !done; turn++) {
      await this.world.clock.run(this.world.clock.now() + 50);
    }
    return request;
  }

  async submit(id: string, job: Partial<SimJob>, at = 'n0'): Promise<Reply> {
    return this.settled(this.world.submit(id, { gang: true, ...job }, at));
  }

  async accepted(id: string, job: Partial<SimJob>): Promise<void> {
    const reply = await this.submit(id, job);
    assert.equal(reply.status, 201, JSON.stringify(reply.body));
  }

  async until(what: string, limitS: number, so: () => boolean): Promise<void> {
    for (const end = this.world.clock.now() + limitS * 1000; !so();) {
      assert.ok(this.world.clock.now() < end, `not within ${limitS} s: ${what}`);
      await this.world.run(0.05);
    }
  }

  starts(id = GANG): { attempt: number; at: number }[] {
    return this.world.gangStarts.filter((one) => one.job === id);
  }

  begins(limitS: number, times = 1, id = GANG): Promise<void> {
    return this.until(`${id} begins`, limitS, () => this.starts(id).length >= times);
  }

  /** Submits a gang and runs on until it has run for so many seconds; its attempt. */
  async running(job: Partial<SimJob>, forS: number): Promise<number> {
    await this.accepted(GANG, job);
    await this.begins(20);
    await this.world.run(forS);
    return this.starts()[0]?.attempt ?? 0;
  }

  holders(id = GANG): SimWorker[] {
    const named = (task: string): boolean => task.startsWith(`${id}/`);
    return [...this.world.workers.values()].filter((one) => [...one.tasks.keys()].some(named));
  }

  holder(id = GANG): SimWorker {
    const [first] = this.holders(id);
    assert.ok(first, `no machine holds ${id}`);
    return first;
  }

  cut(worker: SimWorker): void {
    for (const [node] of this.world.members) this.world.cuts.add(`${node}>${worker.machine.name}`);
  }

  /** The nodes that own parts with shares of a job. */
  owners(id = GANG): Set<string> {
    const owners = new Set<string>();
    for (const key of this.world.state.cells.keys()) {
      const share = readChunkKey(key);
      if (share?.job !== id) continue;
      const role = this.world.state.cells.get(roleKey(partRole(share.part)))?.value;
      owners.add((role as { owner: string }).owner);
    }
    return owners;
  }

  /** The machine of each task of a job that has one, by what the state service holds. */
  reserved(id = GANG): string[] {
    return [...this.world.state.cells].flatMap(([key, cell]) =>
      readChunkKey(key)?.job === id
        ? Object.values((cell.value as ChunkRecord).live).map(([machine]) => machine)
        : [],
    );
  }

  /** Attempts under which a job's tasks were ever handed out to parts. */
  attempts(id = GANG): Set<number | undefined> {
    const attempts = new Set<number | undefined>();
    for (const { key, value, removed } of this.world.state.log) {
      if (removed || readChunkKey(key)?.job !== id) continue;
      attempts.add((value as ChunkRecord).attempt);
    }
    return attempts;
  }

  savedS(id = GANG): number {
    return (this.world.gangs.saved.get(id) ?? 0) / 1000;
  }

  /** The attempt after the first goes on from what was saved: it runs only what was left. */
  async goesOnFrom(savedS: number, runS: number): Promise<void> {
    await this.until('all is complete', 120, () => this.world.completed.has(`${GANG}/0`));
    const [first, second] = this.starts();
    assert.ok(first && second && second.attempt > first.attempt, 'a new attempt');
    const last = this.watch.endsOf(GANG, second.attempt).find((end) => end.cause === 'done');
    assert.ok(last, 'done under the second attempt');
    const ranS = (last.at - second.at) / 1000;
    assert.ok(Math.abs(ranS - (runS - savedS)) <= 1, `ran ${ranS} s, saved ${savedS} s`);
  }

  /** All is over: the state at every node, nothing left on machines nor in the store. */
  async over(id: string, state: string, limitS: number): Promise<void> {
    let stage = '';
    for (let passed = 0; passed < limitS && stage !== state; passed += 2) {
      await this.world.run(2);
      stage = stageOf(await this.settled(this.world.poll(id)));
    }
    assert.equal(stage, state, `${id} within ${limitS} s`);
    await this.world.run(60);
    for (const [node] of this.world.members) {
      const reply = await this.settled(this.world.poll(id, node));
      assert.equal(stageOf(reply), state, `${id} at ${node}`);
    }
    assert.deepEqual(
      this.holders(id).map((one) => one.machine.name),
      [],
      'left on machines',
    );
    const left = [...this.world.state.cells.keys()].filter(
      (key) => key.includes(id) && !key.startsWith(FINALS),
    );
    assert.deepEqual(left, [], 'left in the store');
  }
}

const ROWS: Row[] = [
  // --- A member is lost ----------------------------------------------------------------------
  {
    rule: 'waiting',
    name: 'a member is lost before the start: no task runs twice, all begin under one attempt',
    act: async (hand) => {
      const { world } = hand;
      await hand.accepted(GANG, LONG);
      await hand.until('a task waits', 20, () =>
        hand.holders().some((one) => [...one.onMachine()].length > 0 || one.tasks.size > 0),
      );
      hand.holder().die();
      await hand.begins(120);
      const [start] = hand.starts();
      for (const worker of hand.holders()) {
        for (const [task, held] of worker.onMachine()) {
          assert.equal(held.attempt, start?.attempt, task);
        }
      }
      await world.run(1);
    },
  },
  {
    rule: 'failure',
    name: 'a member is lost after the start: mates_gone for all others, on from the checkpoint',
    act: async (hand) => {
      const attempt = await hand.running(LONG, 12);
      const lost = hand.holder();
      const diedAt = hand.world.clock.now();
      const others = 4 - lost.tasks.size;
      lost.die();
      await hand.world.run(GANG_PEER_S + 1);
      // Who notices first exits with mates_gone; the controllers may then stop the rest earlier.
      const ends = hand.watch.endsOf(GANG, attempt);
      assert.equal(ends.length, others);
      assert.equal(ends[0]?.cause, 'mates_gone');
      for (const { task, cause, stored } of ends) {
        assert.ok(cause === 'mates_gone' || (cause === 'stopped' && !stored), `${task} ${cause}`);
      }
      assert.ok(ends.every(({ at }) => at - diedAt <= GANG_PEER_S * 1000));
      assert.equal(hand.savedS(), 10);
      await hand.begins(120, 2);
      await hand.goesOnFrom(10, 30);
    },
  },
  ...[12, LEASE_S + 16].map((forS): Row => ({
    rule: 'failure',
    name: `a machine hangs for ${forS} s: its tasks start nowhere while they are on it`,
    act: async (hand) => {
      await hand.running(LONG, 7);
      hand.holder().hang(forS);
      await hand.begins(120, 2);
      await hand.goesOnFrom(5, 30);
    },
  })),
  // --- Not complete in time ------------------------------------------------------------------
  {
    // One image takes longer than the others wait: they end alone, and so does the attempt.
    rule: 'waiting',
    name: 'the last image comes too late: the others end alone, and all begin anew together',
    act: async (hand) => {
      const { world, watch } = hand;
      const pass = world.gangs.gather.bind(world.gangs);
      let slow: SimWorker | null = null;
      let first = 0;
      world.gangs.gather = (worker, task, held) => {
        slow ??= worker;
        first ||= held.attempt;
        if (worker === slow && held.attempt === first) held.state = 'pulling';
        else pass(worker, task, held);
      };
      await hand.accepted(GANG, LONG);
      await hand.begins(GANG_WAIT_S + 60);
      const [start] = hand.starts();
      assert.ok(start && start.attempt > first, 'a new attempt');
      const causes = new Set(watch.endsOf(GANG, first).map(({ cause }) => cause));
      assert.ok(causes.has('alone') || causes.has('stopped'), [...causes].join());
      assert.equal(watch.endsOf(GANG, first).length, 4, 'all of the first attempt have ended');
    },
  },
  // --- Orderly stops -------------------------------------------------------------------------
  {
    rule: 'orderly stop',
    name: 'shares of several owners: all are told in time, progress is kept',
    zones: ['a', 'a', 'b', 'b'],
    maxMachines: 4,
    done: [GANG, OTHER],
    act: async (hand) => {
      const attempt = await hand.running({ ...WIDE, checkpointS: 50 }, 20);
      assert.ok(hand.owners().size >= 2, 'shares of several owners');
      await hand.accepted(OTHER, URGENT);
      await hand.begins(30, 1, OTHER);
      const ends = hand.watch.endsOf(GANG, attempt);
      assert.deepEqual(
        ends.map(({ cause, stored }) => [cause, stored]),
        ends.map(() => ['stopped', true]),
      );
      assert.equal(ends.length, 6);
      assert.ok(hand.watch.toldWithinS(GANG, attempt) <= GANG_PEER_S);
      assert.ok(hand.savedS() >= 20, `saved ${hand.savedS()} s`);
      await hand.goesOnFrom(hand.savedS(), 60);
    },
  },
  {
    // Only one owner has a reason to stop its share; the others must hear of it in time.
    rule: 'orderly stop',
    name: 'one task makes way in one zone: the shares in the other are told in time as well',
    zones: ['a', 'a', 'b', 'b'],
    maxMachines: 4,
    done: [GANG, OTHER],
    act: async (hand) => {
      const job = { ...WIDE, team: 'wide', tasks: 8, checkpointS: 50 };
      const attempt = await hand.running(job, 10);
      await hand.accepted(OTHER, { ...URGENT, gang: false, tasks: 1, zone: 'b' });
      await hand.until('the urgent task starts', 30, () =>
        hand.world.starts.some(({ task }) => task === `${OTHER}/0`),
      );
      const ends = hand.watch.endsOf(GANG, attempt);
      assert.deepEqual(
        ends.map(({ cause, stored }) => `${cause} ${stored}`),
        Array.from({ length: 8 }, () => 'stopped true'),
      );
      assert.ok(hand.watch.toldWithinS(GANG, attempt) <= GANG_PEER_S);
      assert.ok(hand.savedS() >= 10, `saved ${hand.savedS()} s`);
      await hand.goesOnFrom(hand.savedS(), 60);
    },
  },
  {
    // Most is lost if the next owner stops the rest too late; then the last checkpoint counts.
    rule: 'orderly stop',
    name: 'the owner of a share is killed at the first halt: one end for all, no checkpoint is lost',
    zones: ['a', 'a', 'b', 'b'],
    maxMachines: 4,
    done: [GANG, OTHER],
    act: async (hand) => {
      const { world, watch } = hand;
      const attempt = await hand.running(WIDE, 22);
      await hand.accepted(OTHER, URGENT);
      await hand.until('the first halt', 30, () => watch.halts.length > 0);
      const nodes = [...hand.owners()];
      const [node] = nodes;
      assert.ok(node && nodes.length >= 2, 'shares of several owners');
      world.kill(node);
      await world.run(4);
      world.boot(node);
      await hand.begins(90, 1, OTHER);
      await hand.begins(120, 2);
      assert.equal(new Set(watch.endsOf(GANG, attempt).map(({ task }) => task)).size, 6);
      assert.ok(hand.savedS() >= 20, `saved ${hand.savedS()} s`);
    },
  },
  {
    // The next owner neither hears those machines nor may it place their tasks elsewhere.
    rule: 'controllers killed',
    name: 'the owner is killed after it reserved all places, and its starts arrive 9 s later',
    zones: ['a', 'a', 'a', 'a', 'a', 'a'],
    act: async (hand) => {
      const { world } = hand;
      for (const worker of world.workers.values()) worker.holdDirectMs = 9000;
      await hand.accepted(GANG, LONG);
      await hand.until('all places are reserved', 20, () => hand.reserved().length === 4);
      await world.run(0.05);
      assert.equal(world.starts.length, 0);
      const machines = new Set(hand.reserved());
      for (const worker of world.workers.values()) worker.mute = machines.has(worker.machine.name);
      const [node] = hand.owners();
      assert.ok(node);
      world.kill(node);
      await world.run(4);
      world.boot(node);
      await world.run(10);
      for (const worker of world.workers.values()) {
        worker.holdDirectMs = 0;
        worker.mute = false;
      }
      await hand.begins(90);
    },
  },
  // --- Restarts ------------------------------------------------------------------------------
  {
    rule: 'restart',
    name: 'one place: no task starts in another zone while an old one is not proven gone',
    zones: ['a', 'a', 'b', 'b'],
    maxMachines: 4,
    act: async (hand) => {
      const { world } = hand;
      const attempt = await hand.running({ ...LONG, oneZone: true }, 7);
      const [first, second] = hand.holders();
      assert.ok(first && second);
      // Neither is room left in its zone, nor is it heard that its tasks have ended.
      first.hang(20);
      hand.cut(second);
      world.cloudTrouble = true;
      const lastAt = world.clock.now();
      await world.run(LEASE_S - 6);
      const later = world.starts.filter((one) => one.at > lastAt);
      assert.deepEqual(later, [], `while attempt ${attempt} is not proven gone`);
      world.cuts.clear();
      world.cloudTrouble = false;
      await hand.begins(120, 2);
    },
  },
  {
    // One share is proven gone at once, the other only when its machine goes on.
    rule: 'restart',
    name: 'one of two shares hangs: the other waits for the proof of its end before it starts anew',
    zones: ['a', 'a', 'a', 'a', 'b', 'b', 'b', 'b'],
    act: async (hand) => {
      const { world } = hand;
      await hand.running({ ...LONG, tasks: 6, cpus: 1, spread: true }, 7);
      const hung = hand.holders().find((one) => one.machine.zone === 'b');
      assert.ok(hung);
      hung.hang(20);
      // A machine that is returned proves its tasks' end as well.
      world.cloudTrouble = true;
      const since = world.clock.now();
      await world.run(19.5);
      assert.deepEqual(
        world.starts.filter((one) => one.at > since),
        [],
        'starts while a task may still be on its machine',
      );
      assert.equal(hand.attempts().size, 1, 'nor is it handed out anew');
      world.cloudTrouble = false;
      await hand.begins(120, 2);
    },
  },
  // --- One done, all done --------------------------------------------------------------------
  {
    rule: 'done',
    name: 'all are done, one machine is not heard for 15 s: nothing starts again',
    act: async (hand) => {
      const { world } = hand;
      await hand.running(LONG, 25);
      hand.cut(hand.holder());
      await hand.until('all is complete', 20, () => world.completed.size === 4);
      const starts = world.starts.length;
      await world.run(15);
      assert.equal(world.starts.length, starts);
      world.cuts.clear();
      await world.run(5);
      assert.equal(world.starts.length, starts);
    },
  },
  ...['dies', 'is cut for longer than its lease'].map((fate): Row => ({
    rule: 'done',
    name: `all are done, one machine ${fate} before it says so: the job gets done`,
    act: async (hand) => {
      const { world } = hand;
      await hand.running(LONG, 25);
      const lost = hand.holder();
      hand.cut(lost);
      await hand.until('all is complete', 20, () => world.completed.size === 4);
      if (fate === 'dies') lost.die();
      await world.run(LEASE_S + 16);
      world.cuts.clear();
      await hand.over(GANG, 'done', 120);
      // Its place is free for the next.
      await hand.accepted(OTHER, { tasks: 4, cpus: 2 });
      await hand.begins(60, 1, OTHER);
    },
  })),
  // --- Placement -----------------------------------------------------------------------------
  {
    rule: 'placement',
    name: 'apart: at most half of it in one zone, all at once',
    zones: ['a', 'a', 'b', 'b'],
    maxMachines: 4,
    act: async (hand) => {
      await hand.accepted(GANG, { ...LONG, tasks: 6, spread: true });
      await hand.begins(60);
    },
  },
  {
    rule: 'placement',
    name: 'one place: not split over two zones though both together have the room',
    zones: ['a', 'b'],
    act: async (hand) => {
      await hand.accepted(GANG, { ...LONG, oneZone: true });
      await hand.begins(60);
    },
  },
  // --- Users ---------------------------------------------------------------------------------
  {
    rule: 'submission',
    name: 'submitted again while it waits, runs and is done: known, and run once',
    act: async (hand) => {
      const { world } = hand;
      const again = async (stages: string[]): Promise<void> => {
        for (const [node] of world.members) {
          const reply = await hand.submit(GANG, LONG, node);
          assert.equal(reply.status, 200);
          assert.ok(stages.includes(stageOf(reply)), stageOf(reply));
          // What is known stays accepted, even if a retry says what nobody could run.
          const other = world.submit(GANG, { gang: true, ...LONG }, node, { larvae: 90_000 });
          assert.equal((await hand.settled(other)).status, 200);
        }
      };
      const both = [hand.submit(GANG, LONG, 'n0'), hand.submit(GANG, LONG, 'n2')];
      const statuses = (await Promise.all(both)).map((one) => one.status).sort();
      assert.deepEqual(statuses, [200, 201]);
      await again(['queued', 'running']);
      await hand.begins(20);
      await again(['running']);
      await hand.over(GANG, 'done', 90);
      await again(['done']);
      assert.equal(hand.starts().length, 1);
      assert.equal(world.starts.length, 4);
    },
  },
  {
    rule: 'submission',
    name: 'submitted again after it was cancelled: stays so, nothing starts',
    done: [],
    act: async (hand) => {
      const { world } = hand;
      await hand.running({ ...LONG, runS: 200 }, 5);
      await hand.settled(world.cancel(GANG, 'n1'));
      const reply = await hand.submit(GANG, LONG, 'n2');
      assert.equal(reply.status, 200);
      assert.equal(stageOf(reply), 'withdrawn');
      await hand.over(GANG, 'withdrawn', 50);
      assert.equal(hand.starts().length, 1);
    },
  },
];

for (const { rule, name, zones, maxMachines, act, done } of ROWS) {
  test(`gang rule, ${rule}: ${name}`, async () => {
    const fleet = { ...FLEET, ...(maxMachines === undefined ? {} : { maxMachines }) };
    const world = new World(1, undefined, { fleet });
    for (const zone of zones ?? ['a', 'a', 'a']) world.addMachine('small', zone, false, 500);
    await world.run(6);
    const hand = new Hand(world);
    await act(hand);
    for (const id of done ?? [GANG]) await hand.over(id, 'done', 300);
    assert.deepEqual(world.broken, []);
    assert.deepEqual([...hand.watch.mixed], [], 'two attempts at once');
    assert.deepEqual(hand.watch.tooShort(), [], 'halts without time to save');
  });
}
