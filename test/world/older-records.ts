/** Records that older versions have left, and controllers that start with them. */
import type { StoreReplica } from '../../src/storage/store-replica.js';
import { SimClock } from './clock.js';
import { JOB } from './shard-fixture.js';
import { followingReplica } from './replica.js';
import { SimKeyValueStore } from './key-value-store.js';
import { TYPES } from './settings.js';
import { World } from './world.js';

/** Records by their keys. */
export type Records = Record<string, unknown>;

/** A field that a later version may add. */
export const LATER = { later: { added: [1] } };

/** Stores records as they are. */
const put = (state: SimKeyValueStore, records: Records): void =>
  state.change(Object.entries(records).map(([key, value]) => ({ key, value })));

/** What a controller holds of these records. */
export async function replicaOf(records: Records): Promise<StoreReplica> {
  const clock = new SimClock();
  const state = new SimKeyValueStore(clock);
  put(state, records);
  const { replica } = followingReplica(clock, state, 1000);
  await clock.run(500);
  return replica;
}

/** A controller that starts with what others left behind. */
export async function started(records: Records, members: [string, string][]): Promise<World> {
  const world = new World(4, members, { placement: { alpha: 2, penalty: 2, snapshotS: 5 } });
  for (const [name] of members) world.kill(name);
  put(world.store, { 'mb/live/catalog': TYPES, ...records });
  await world.clock.run(2);
  world.boot('n0');
  return world;
}

/** The value that a key has now. */
export const valueOf = <T>(state: SimKeyValueStore, key: string): T =>
  state.entries.get(key)?.value as T;

/** A job's spec as older versions store it. */
export const SPEC = {
  id: JOB,
  class: 'work',
  team: 'red',
  kind: 'array',
  priority: 'normal',
  tasks: 4,
  cpus: 1,
  gpus: 0,
  memoryGb: 1,
  image: 'img-1',
  imageGb: 1,
  types: null,
  zone: null,
  oneZone: false,
  spread: false,
  spot: true,
  estimateS: 10,
  checkpointS: 0,
  saveS: 0,
  deadlineS: null,
};
/** What an assignment says of its job's tasks. */
export const KIND = { team: 'red', cpus: 1, gpus: 0, memoryGb: 1, zone: 'a' };
/** What a replica says of an assignment of this kind. */
export const SUMMARY = { shard: 'p', job: JOB, ...KIND };
/** The key of the first assignment of the job. */
export const ASSIGNMENT_1 = `mb/live/chunk/p/${JOB}/3000001`;
/** The term of the roles that are left. */
export const TERM = 3;
/** The attempt of the tasks that are left. */
export const ATTEMPT = 900_000_000_000_000;
/** A role as its last owner left it. */
export const role = (owner: string, movedAt = 0) => ({
  owner,
  incarnation: `${owner}-before`,
  term: TERM,
  movedAt,
  ...LATER,
});
/** A as a new arm has it, but for this class's own cell: it is all that 89f79d3 would keep of it. */
const diagonal = (own: number): number[][] =>
  Array.from({ length: 21 + 2 * TYPES.length }, (_, at) => [at, at, at === 0 ? own : 1]);
/** What a shard has learned of a type, with one class of work. */
export const ARM = { classes: ['work/1/0'], types: ['small'], a: diagonal(9), b: [[0, -0.5]] };
/** A catalogue of types that differ in their names only. */
export const typesNamed = (...names: string[]): object[] =>
  names.map((name) => ({ ...TYPES[0], name, ...LATER }));

/** What a controller has learned after some tasks of a class that these records know. */
export async function learnedOn(records: Records) {
  const world = await started(records, [['n0', 'a']]);
  await world.run(10);
  void world.submit(JOB, {});
  await world.run(80);
  type Arm = { classes: string[]; a: [number, number, number][] };
  const arm = valueOf<Arm>(world.store, 'mb/live/arm/n0/small');
  const cell = (row: number, column: number): number | undefined =>
    arm.a.find(([one, other]) => one === row && other === column)?.[2];
  return { own: cell(0, 0) ?? 0, beside: cell(2, 1), classes: arm.classes };
}
