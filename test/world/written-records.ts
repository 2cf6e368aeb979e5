/** Examples of the records that this version stores, and of its metrics. */
import { Bandit } from '../../src/coordination/scheduling/bandit.js';
import { createMetricsReader } from '../../src/coordination/controller/metrics.js';
import { WITH_FAILURE_DETECTION } from './failure-detection-case.js';
import { World } from './world.js';

/** Examples by their names. */
export type Forms = Record<string, string>;

/** The stored arms of a bandit with a few results: one in a single record, one split into several. */
export function banditForms(): Forms {
  const bandit = new Bandit(['small', 'large'], 2, 2);
  const load = new Map([
    ['small', 3],
    ['large', 1],
  ]);
  for (const name of ['index', 'verify']) {
    for (const type of ['small', 'large']) {
      bandit.recordSuccess(type, bandit.context(name, type, load), 0.0125);
      bandit.recordFailure(type, bandit.context(name, type, load));
    }
  }
  return {
    'record: arm': JSON.stringify(bandit.records('small', 8192, 0)),
    'record: arm in pieces': JSON.stringify(bandit.records('large', 400, 3)),
  };
}

/** Names of examples, and the prefix of the keys of each. */
const RECORD_KINDS: [name: string, prefix: string][] = [
  ['job', 'mb/live/job/'],
  ['chunk', 'mb/live/chunk/'],
  ['machine', 'mb/live/machine/'],
  ['status', 'mb/live/status/'],
  ['node', 'mb/live/node/'],
  ['role', 'mb/live/role/'],
  ['catalog', 'mb/live/catalog'],
  ['final', 'mb/final/'],
];

/**
 * Examples that hold more fields than the first record of their kind. Each is the last record whose
 * key has the prefix and whose text matches the pattern.
 */
const FULL_RECORDS: [name: string, prefix: string, pattern: RegExp][] = [
  ['chunk with placed tasks', 'mb/live/chunk/', /"live":\{"/],
  ['chunk of a gang', 'mb/live/chunk/', /"attempt":/],
  ['status with machines', 'mb/live/status/', /"machines":\{"/],
];

/** Returns a small cluster that has run jobs of all kinds; some of them still run. */
async function busyWorld(): Promise<World> {
  const world = new World(7, undefined, { suspicion: null });
  await world.run(8);
  void world.submit('j-000001', { tasks: 3, runS: 4 });
  void world.submit('j-000002', { service: true, tasks: 2, spot: false }, 'n1');
  void world.submit('j-000003', { gang: true, tasks: 3, runS: 200, team: 'blue' }, 'n2');
  void world.submit('j-000004', { tasks: 6, runS: 300, deadlineS: 900, zone: 'b' });
  void world.submit('j-000005', { tasks: 2, runS: 300, urgent: true, types: ['small'] });
  await world.run(45);
  void world.cancel('j-000005');
  await world.run(10);
  return world;
}

/** The first record of each kind that a busy cluster writes, fuller ones, and all records at its end. */
export async function recordForms(): Promise<Forms> {
  const world = await busyWorld();
  const forms: Forms = {};
  for (const [name, prefix] of RECORD_KINDS) {
    const first = world.store.log.find(({ key, removed }) => !removed && key.startsWith(prefix));
    forms[`record: ${name}`] = `${first?.key} ${JSON.stringify(first?.value)}`;
  }
  for (const [name, prefix, pattern] of FULL_RECORDS) {
    const last = world.store.log.findLast(
      ({ key, removed, value }) =>
        !removed && key.startsWith(prefix) && pattern.test(JSON.stringify(value)),
    );
    forms[`record: ${name}`] = `${last?.key} ${JSON.stringify(last?.value)}`;
  }
  const cells = [...world.store.entries].sort(([a], [b]) => (a < b ? -1 : 1));
  forms['all records'] = JSON.stringify(cells.map(([key, { value }]) => [key, value]));
  return forms;
}

/** The names and help texts of all metrics. */
export async function metricForms(): Promise<Forms> {
  const world = new World(3, undefined, WITH_FAILURE_DETECTION);
  await world.run(3);
  const node = world.nodes.get('n0')?.node;
  if (!node) throw new Error('controller n0 is not running');
  const text = await createMetricsReader(node)();
  const named = text.split('\n').filter((line) => line.startsWith('# '));
  return { 'metrics: names and help': named.join('\n') };
}
