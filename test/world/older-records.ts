/** Records as older versions store them, and controllers that start with these records. */
import type { StoreReplica } from '../../src/storage/store-replica.js';
import { SimClock } from './clock.js';
import { JOB } from './shard-fixture.js';
import { followingReplica } from './replica.js';
import { SimKeyValueStore } from './key-value-store.js';
import { TYPES } from './settings.js';
import { World } from './world.js';

/** Records by their keys. */
export type Records = Record<string, unknown>;

/** A field that a later version may add to a record. */
export const LATER = { later: { added: [1] } };

/** Stores records unchanged. */
const put = (store: SimKeyValueStore, records: Records): void =>
  store.change(Object.entries(records).map(([key, value]) => ({ key, value })));

/** Returns a replica that has read these records from a store. */
export async function replicaOf(records: Records): Promise<StoreReplica> {
  const clock = new SimClock();
  const store = new SimKeyValueStore(clock);
  put(store, records);
  const { replica } = followingReplica(clock, store, 1000);
  await clock.run(500);
  return replica;
}

/** Returns a world in which only controller n0 runs; it has started with these records stored. */
export async function started(records: Records, members: [string, string][]): Promise<World> {
  const world = new World(4, members, { placement: { alpha: 2, penalty: 2, snapshotS: 5 } });
  for (const [name] of members) world.kill(name);
  put(world.store, { 'mb/live/catalog': TYPES, ...records });
  await world.clock.run(2);
  world.boot('n0');
  return world;
}

/** Returns the value that a key has now. */
export const valueOf = <T>(store: SimKeyValueStore, key: string): T =>
  store.entries.get(key)?.value as T;

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
/** Fields of an assignment that describe its job's tasks. */
export const KIND = { team: 'red', cpus: 1, gpus: 0, memoryGb: 1, zone: 'a' };
/** The replica's summary of an assignment with these fields. */
export const SUMMARY = { shard: 'p', job: JOB, ...KIND };
/** The key of the job's first assignment. */
export const ASSIGNMENT_1 = `mb/live/chunk/p/${JOB}/3000001`;
/** The term in the stored roles. */
export const TERM = 3;
/** The attempt of the stored tasks. */
export const ATTEMPT = 900_000_000_000_000;
/** A role as its last holder stored it. */
export const role = (owner: string, movedAt = 0) => ({
  owner,
  incarnation: `${owner}-before`,
  term: TERM,
  movedAt,
  ...LATER,
});
/**
 * The matrix A of a new arm, with `own` as the cell of the first class. 89f79d3 would keep only these
 * cells of A.
 */
const diagonal = (own: number): number[][] =>
  Array.from({ length: 21 + 2 * TYPES.length }, (_, at) => [at, at, at === 0 ? own : 1]);
/** The stored arm of a shard that has learned about machine type small from one class of work. */
export const ARM = { classes: ['work/1/0'], types: ['small'], a: diagonal(9), b: [[0, -0.5]] };
/** Returns a catalogue of machine types that differ only in their names. */
export const typesNamed = (...names: string[]): object[] =>
  names.map((name) => ({ ...TYPES[0], name, ...LATER }));

/**
 * Starts a controller with these records, lets it run tasks of a class of work that is in them, and
 * returns what it has learned: two cells of the matrix A and the classes.
 */
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
