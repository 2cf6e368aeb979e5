import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Committer } from '../src/bookkeeping/committer.js';
import { Gate } from '../src/bookkeeping/gate.js';
import { CATALOG, chunkKey, jobKey, roleKey } from '../src/bookkeeping/keys.js';
import type { ChunkRecord, JobRecord } from '../src/bookkeeping/records.js';
import { View } from '../src/bookkeeping/view.js';
import { Part } from '../src/coordination/part.js';
import { TOKEN_STEP } from '../src/constants.js';
import type { Command, JobSpec, TaskReport, WorkerReport } from '../src/protocol/terms.js';
import { SimClock } from './world/clock.js';
import { SimState } from './world/state.js';
import { TYPES, silent } from './world/world.js';

const JOB = 'j-000001';
const TERM = 5;
const TOKEN = TERM * TOKEN_STEP;

const SPEC: JobSpec = {
  id: JOB,
  class: 'work',
  team: 'red',
  kind: 'array',
  priority: 'normal',
  tasks: 1,
  cpus: 1,
  gpus: 0,
  memoryGb: 1,
  image: 'img',
  imageGb: 1,
  types: null,
  zone: null,
  oneZone: false,
  spread: false,
  spot: false,
  estimateS: 10,
  checkpointS: 0,
  saveS: 0,
  deadlineS: null,
};

/** One part on its own, with its state service; `placed`: a former owner placed its task. */
async function lone(options: { placed?: boolean; spec?: Partial<JobSpec>; zone?: string } = {}) {
  const clock = new SimClock();
  const state = new SimState(clock);
  const chunk: ChunkRecord = {
    ids: '0',
    done: '',
    live: options.placed ? { '0': ['m-1', 77] } : {},
    team: 'red',
    cpus: 1,
    gpus: 0,
    memoryGb: 1,
    zone: options.zone ?? 'a',
  };
  const job: JobRecord = { spec: { ...SPEC, ...options.spec }, at: clock.wall() };
  state.change([
    { key: roleKey('part-p'), value: { owner: 'p' } },
    { key: CATALOG, value: TYPES },
    { key: jobKey(JOB), value: job },
    { key: chunkKey('p', JOB, 1), value: chunk },
  ]);
  const api = state.api('p');
  const gate = new Gate(clock, 100, 100, 8);
  const view = new View(api, gate, clock, silent, () => 0.5);
  void view.follow();
  await clock.run(500);
  const sent: { commands: Command[]; fail: () => void; done: (report: WorkerReport) => void }[] =
    [];
  const part = new Part(
    {
      part: 'p',
      number: 0,
      term: TERM,
      roleKey: roleKey('part-p'),
      roleMark: view.markOf(roleKey('part-p')),
      fenceAt: 60_000,
      leaseS: 24,
      reportS: 3,
      txnOps: 8,
      valueBytes: 8192,
      alpha: 2,
      penalty: 2,
      snapshotMs: 1e9,
      startWithinS: {},
      alive: () => true,
    },
    view,
    new Committer(api, gate, view, clock, silent, () => 0.5),
    {
      command: (_address, _token, _session, commands) =>
        new Promise((resolve, reject) => {
          sent.push({
            commands,
            fail: () => reject(new Error('no answer')),
            done: (report) => resolve({ executed: true, report }),
          });
        }),
    },
    clock,
    silent,
    () => undefined,
  );
  view.onChange((keys) => keys.forEach((key) => part.changed(key)));
  let seq = 0;
  const report = (change: Partial<WorkerReport> = {}, tasks: TaskReport[] = []): Command[] => {
    const answer = part.handleReport({
      machine: 'm-1',
      address: '10.0.0.1:9',
      type: 'small',
      zone: 'a',
      spot: false,
      session: 1,
      seq: ++seq,
      token: TOKEN,
      noticeS: null,
      tasks,
      ...change,
    });
    return answer.ok ? answer.commands : [];
  };
  const round = async (ms = 300): Promise<void> => {
    void part.round();
    await clock.run(clock.now() + ms);
  };
  const stored = (): ChunkRecord | undefined =>
    state.cells.get(chunkKey('p', JOB, 1))?.value as ChunkRecord | undefined;
  const cancel = async (): Promise<void> => {
    state.change([{ key: jobKey(JOB), remove: true }]);
    await clock.run(clock.now() + 300);
  };
  return { clock, state, part, report, round, stored, cancel, sent };
}

const running = (attempt: number): TaskReport => ({
  task: { job: JOB, index: 0 },
  attempt,
  state: 'running',
  cause: null,
});
const ended = (attempt: number): TaskReport => ({
  ...running(attempt),
  state: 'exited',
  cause: 'done',
});
const ops = (commands: Command[]): string[] => commands.map((command) => command.op);

test('a start goes out only once its placement is committed', async () => {
  const world = await lone();
  world.report();
  world.state.outage = true;
  await world.round();
  assert.deepEqual(ops(world.report()), []);
  assert.equal(world.sent.length, 0);
  world.state.endOutage();
  await world.round(3000);
  assert.equal(world.stored()?.live['0']?.[0], 'm-1');
  assert.deepEqual(ops(world.report()), ['start']);
});

test('a placement made after the role was lost is never committed nor sent', async () => {
  const world = await lone();
  world.report();
  world.state.change([{ key: roleKey('part-p'), value: { owner: 'q' } }]);
  await world.round(1000);
  assert.deepEqual(world.stored()?.live, {});
  assert.deepEqual(ops(world.report()), []);
  assert.equal(world.sent.length, 0);
});

test('absence proves an end only to the owner whose token the worker has shown', async () => {
  const world = await lone({ placed: true });
  await world.cancel();
  world.report({ token: 3 });
  await world.round();
  assert.ok(world.stored(), 'a former owner may still start it');
  world.report();
  await world.round();
  assert.equal(world.stored(), undefined);
});

test('an older report proves nothing', async () => {
  const world = await lone({ placed: true });
  world.report({ seq: 9 }, [running(77)]);
  await world.cancel();
  world.report({ seq: 8 });
  await world.round();
  assert.ok(world.stored());
  assert.deepEqual(ops(world.report({ seq: 10 }, [running(77)])), ['stop']);
});

test('a direct start without an answer must be fenced before its absence counts', async () => {
  const world = await lone();
  world.report();
  await world.round();
  assert.deepEqual(ops(world.sent[0]?.commands ?? []), ['start']);
  world.sent[0]?.fail();
  await world.cancel();
  world.report();
  await world.round();
  assert.ok(world.stored(), 'it may still arrive at the worker');
  world.report({ token: TOKEN + 1 });
  await world.round();
  assert.equal(world.stored(), undefined);
});

test('an ended attempt is forgotten only after its end is committed', async () => {
  const world = await lone({ placed: true });
  world.report({}, [running(77)]);
  world.state.outage = true;
  world.report({}, [ended(77)]);
  await world.round();
  assert.deepEqual(ops(world.report({}, [ended(77)])), []);
  world.state.endOutage();
  await world.round(3000);
  assert.equal(world.stored()?.done, '0');
  assert.deepEqual(ops(world.report({}, [ended(77)])), ['forget']);
});

test('an ended attempt is not forgotten while a direct start of it may still arrive', async () => {
  const world = await lone();
  world.report();
  await world.round();
  const attempt = world.stored()?.live['0']?.[1] ?? 0;
  world.sent[0]?.fail();
  world.report({}, [ended(attempt)]);
  await world.round();
  assert.equal(world.stored()?.done, '0');
  assert.deepEqual(ops(world.report({}, [ended(attempt)])), []);
  assert.deepEqual(ops(world.report({ token: TOKEN + 1 }, [ended(attempt)])), ['forget']);
});

test('tasks on a machine that never spoke to the new owner wait for the fence', async () => {
  const world = await lone({ placed: true });
  await world.clock.run(59_000);
  await world.round();
  assert.deepEqual(world.stored()?.live, { '0': ['m-1', 77] });
  await world.clock.run(61_000);
  await world.round();
  assert.deepEqual(world.stored()?.live, {});
});

test('services of a little-used machine move to another that has room and their image', async () => {
  const world = await lone({ placed: true, spec: { kind: 'service' } });
  const job: JobRecord = { spec: { ...SPEC, id: 'j-000002', kind: 'service' }, at: 0 };
  const chunk = { ...world.stored(), ids: '0-2', live: { '0': ['m-2', 7], '1': ['m-2', 8] } };
  world.state.change([
    { key: jobKey('j-000002'), value: job },
    { key: chunkKey('p', 'j-000002', 2), value: { ...chunk, ids: '0-1' } },
  ]);
  await world.clock.run(world.clock.now() + 300);
  const other = [0, 1].map((index) => ({
    task: { job: 'j-000002', index },
    attempt: 7 + index,
    state: 'running' as const,
    cause: null,
  }));
  const both = (): Command[] => {
    world.report({ machine: 'm-2' }, other);
    return world.report({}, [running(77)]);
  };
  both();
  await world.clock.run(world.clock.now() + 2000);
  await world.round();
  assert.deepEqual(ops(both()), [], 'too young to move');
  await world.clock.run(world.clock.now() + 40_000);
  both();
  await world.round();
  assert.deepEqual(ops(both()), ['stop']);
  world.report({}, [{ ...ended(77), cause: 'stopped' }]);
  await world.round();
  assert.equal(world.stored()?.live['0']?.[0], 'm-2');
});

test('tasks go only where their job allows', async () => {
  const cases: [string, Parameters<typeof lone>[0], Partial<WorkerReport>, boolean][] = [
    ['anywhere', {}, {}, true],
    ['a spot machine not allowed', {}, { spot: true }, false],
    ['a spot machine allowed', { spec: { spot: true } }, { spot: true }, true],
    ['another zone than the leader settled', { zone: 'b' }, {}, false],
    ['another zone than the job allows', { spec: { zone: 'b' } }, {}, false],
    ['a type that is not allowed', { spec: { types: ['large'] } }, {}, false],
    ['a machine about to be taken', {}, { noticeS: 20 }, false],
  ];
  for (const [name, options, change, placed] of cases) {
    const world = await lone(options);
    world.report(change);
    await world.round();
    assert.equal(Object.keys(world.stored()?.live ?? {}).length, placed ? 1 : 0, name);
  }
});
