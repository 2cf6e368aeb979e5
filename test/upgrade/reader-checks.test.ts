/** Checks that stand in for the readers of older versions reject records that those could not read. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { JOB, SPEC } from '../world/shard-fixture.js';
import { OLDER_VERSIONS } from '../world/older-versions.js';
import { TYPES } from '../world/settings.js';
import { ASSIGNMENT } from '../world/readable-by-older-versions.js';

const ROLE = { owner: 'n0', incarnation: 'n0-1', term: 1, movedAt: 0 };
const ARM = {
  ...{ classes: [], types: ['small'], b: [] },
  a: Array.from({ length: 21 + 2 }, (_, at) => [at, at, 1]),
};
const JOB_RECORD = { spec: SPEC, at: 5 };
const MACHINE = { state: 'rented', type: 'small', zone: 'a', spot: false, at: 5 };
const without = (value: object, field: string): object =>
  Object.fromEntries(Object.entries(value).filter(([name]) => name !== field));

/** Records that older versions read, each with values and keys that their checks must reject. */
const BROKEN: {
  key: string;
  good: object;
  bad: unknown[];
  badKeys?: string[];
  /** A record that only the version with gangs reads. */
  gangsOnly?: true;
}[] = [
  {
    key: `mb/live/job/${JOB}`,
    good: JOB_RECORD,
    bad: [
      without(JOB_RECORD, 'at'),
      ...Object.keys(SPEC).map((field) => ({ ...JOB_RECORD, spec: without(SPEC, field) })),
      { ...JOB_RECORD, spec: { ...SPEC, id: 'another' } },
      { ...JOB_RECORD, spec: { ...SPEC, priority: 'urgent' } },
      { ...JOB_RECORD, spec: { ...SPEC, cpus: '1' } },
    ],
    badKeys: [`mb/job/${JOB}`],
  },
  {
    key: `mb/final/${JOB}`,
    good: { state: 'done', tasks: 1 },
    bad: [{ state: 'over', tasks: 1 }, { state: 'done' }],
    badKeys: [`mb/final/${JOB}/1`],
  },
  {
    key: `mb/live/chunk/p/${JOB}/1`,
    good: ASSIGNMENT,
    bad: [
      ...Object.keys(ASSIGNMENT).map((field) => without(ASSIGNMENT, field)),
      { ...ASSIGNMENT, ids: [0, 1, 2, 3] },
      { ...ASSIGNMENT, ids: '0..3' },
      { ...ASSIGNMENT, ids: '0-3,2' },
      { ...ASSIGNMENT, done: '4' },
      { ...ASSIGNMENT, done: '0' },
      { ...ASSIGNMENT, live: { '4': ['m-1', 7] } },
      { ...ASSIGNMENT, live: { '0': ['m-1', 2 ** 60] } },
      { ...ASSIGNMENT, live: { '0': { machine: 'm-1', attempt: 7 } } },
    ],
    badKeys: [`mb/live/chunk/p/${JOB}/1/1`, `mb/live/chunk/p/${JOB}/1-1`],
  },
  {
    key: 'mb/live/machine/m-1',
    good: MACHINE,
    bad: [
      ...Object.keys(MACHINE).map((field) => without(MACHINE, field)),
      { ...MACHINE, state: 'closing' },
    ],
    badKeys: ['mb/live/machine/m-1/a'],
  },
  {
    key: 'mb/live/status/p/0',
    good: { machines: { 'm-1': ['small', 'a', 0, 'ok'] } },
    bad: [
      {},
      { machines: [] },
      { machines: { 'm-1': ['small', 'a', false, 'ok'] } },
      { machines: { 'm-1': ['small', 'a', 0, 'tired'] } },
    ],
    badKeys: ['mb/live/status/p/first', 'mb/live/status/p'],
  },
  {
    key: 'mb/live/role/leader',
    good: ROLE,
    bad: Object.keys(ROLE).map((field) => without(ROLE, field)),
    badKeys: ['mb/live/role/part/n0'],
  },
  {
    key: 'mb/live/node/n0',
    good: { incarnation: 'n0-1' },
    bad: [{ incarnation: 1 }],
    badKeys: ['mb/live/node/n0/1'],
  },
  {
    key: 'mb/live/arm/p/small',
    good: ARM,
    bad: [
      ...Object.keys(ARM).map((field) => without(ARM, field)),
      { ...ARM, a: ARM.a.slice(1) },
      { ...ARM, a: [...ARM.a, [23, 0, 1]] },
      { ...ARM, b: [[23, 1]] },
      { ...ARM, classes: Array.from({ length: 21 }, (_, at) => `class-${at}`) },
    ],
    badKeys: ['mb/live/arm/p/small+1', 'mb/live/arms/p/small'],
  },
  {
    key: 'mb/live/catalog',
    good: TYPES,
    bad: [[], ...Object.keys(TYPES[0] ?? {}).map((field) => [without(TYPES[0] ?? {}, field)])],
  },
];

const GANG_ASSIGNMENT = { ...ASSIGNMENT, attempt: 7, stopping: true };
const EMPTY_ARM = { ...{ classes: [], types: [], a: [], b: [] }, stamp: 5 };
const FURTHER_ARM = { ...EMPTY_ARM, moreClasses: [], moreA: [], moreB: [] };
BROKEN.push(
  {
    key: `mb/live/job/${JOB}`,
    gangsOnly: true,
    good: { ...JOB_RECORD, spec: { ...SPEC, kind: 'gang' } },
    bad: [{ ...JOB_RECORD, spec: { ...SPEC, kind: 'group' } }],
  },
  {
    key: `mb/live/chunk/p/${JOB}/1.1`,
    gangsOnly: true,
    good: GANG_ASSIGNMENT,
    bad: [
      { ...GANG_ASSIGNMENT, attempt: '7', live: {} },
      { ...GANG_ASSIGNMENT, attempt: 8 },
      { ...GANG_ASSIGNMENT, stopping: 1 },
    ],
  },
  {
    key: 'mb/live/arm/p/small',
    gangsOnly: true,
    good: { ...ARM, stamp: 5, further: 1 },
    bad: [
      { ...ARM, stamp: 5 },
      { ...ARM, further: 1 },
    ],
  },
  {
    key: 'mb/live/arm/p/small+1',
    gangsOnly: true,
    good: FURTHER_ARM,
    bad: [
      ...['stamp', 'moreClasses', 'moreA', 'moreB'].map((field) => without(FURTHER_ARM, field)),
      { ...FURTHER_ARM, types: ['small'] },
    ],
  },
  {
    key: 'mb/live/catalog/1',
    gangsOnly: true,
    good: TYPES,
    bad: [[]],
    badKeys: ['mb/live/catalog/1/1'],
  },
);

// If this test fails, the other tests of this folder prove nothing, because their checks would accept
// broken records.
test('the checks reject records that older versions could not read', () => {
  for (const { commit, objections } of OLDER_VERSIONS) {
    for (const { key, good, bad, badKeys = [], gangsOnly } of BROKEN) {
      if (gangsOnly && commit !== 'df7a3ba') continue;
      assert.deepEqual(objections(key, good), [], `${commit} ${key}`);
      for (const one of bad)
        assert.notDeepEqual(objections(key, one), [], `${commit} ${key} ${JSON.stringify(one)}`);
      for (const one of badKeys) assert.notDeepEqual(objections(one, good), [], `${commit} ${one}`);
    }
  }
});
