import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  missingGangCapacity,
  reservingShardZone,
} from '../../src/coordination/capacity/gang-capacity.js';
import { planGang } from '../../src/coordination/leader/gang-plan.js';
import type { MachineCapacity } from '../../src/coordination/capacity/machine-capacity.js';
import type { JobSpec } from '../../src/protocol/model.js';
import { SPEC } from '../world/shard-fixture.js';

const GANG: JobSpec = { ...SPEC, kind: 'gang', tasks: 2, cpus: 2, memoryGb: 6, oneZone: true };

let count = 0;
const machine = (shard: string, change: Partial<MachineCapacity> = {}): MachineCapacity => ({
  name: `m-${++count}`,
  shard,
  type: 'small',
  zone: 'a',
  spot: false,
  health: 'ok',
  cpus: 4,
  gpus: 0,
  memoryGb: 16,
  tasks: 0,
  preemptibleCpus: 0,
  preemptibleMemoryGb: 0,
  arrayCpus: 0,
  arrayMemoryGb: 0,
  ...change,
});
/** Full of small array tasks, by CPUs and by memory. */
const FULL = {
  cpus: 0,
  memoryGb: 2,
  preemptibleCpus: 4,
  preemptibleMemoryGb: 14,
  arrayCpus: 4,
  arrayMemoryGb: 14,
};

test('gang placement: one shard before several, free capacity before expected capacity, else none', () => {
  const cases: [string, Partial<JobSpec>, MachineCapacity[], string][] = [
    ['one shard has the capacity', {}, [machine('p'), machine('q', { cpus: 2 })], 'immediate p:2'],
    [
      'two shards have it together',
      {},
      [machine('p', { cpus: 2 }), machine('q', { cpus: 2 })],
      'immediate p:1 q:1',
    ],
    [
      'in one zone only',
      {},
      [machine('p', { cpus: 2 }), machine('q', { cpus: 2, zone: 'b' })],
      'missing 1',
    ],
    [
      'over both zones',
      { oneZone: false },
      [machine('p', { cpus: 2 }), machine('q', { cpus: 2, zone: 'b' })],
      'immediate p:1 q:1',
    ],
    [
      'at most half in a zone',
      { oneZone: false, spread: true },
      [machine('p'), machine('q', { zone: 'b' })],
      'immediate p:1 q:1',
    ],
    // When CPUs alone counted as expected capacity, gangs waited in front of arrays for ever.
    ['arrays that end, memory too', {}, [machine('p', FULL)], 'afterReclaim p:2'],
    ['CPUs end, memory does not', {}, [machine('p', { ...FULL, arrayMemoryGb: 0 })], 'missing 2'],
    [
      'an urgent one may preempt them',
      { priority: 'high' },
      [machine('p', FULL)],
      'afterReclaim p:2',
    ],
    ['no spot machine', {}, [machine('p', { spot: true })], 'missing 2'],
  ];
  for (const [name, change, machines, want] of cases) {
    const plan = planGang({ ...GANG, ...change }, machines);
    const got = plan.subsets
      ? `${plan.availability} ${plan.subsets.map((one) => `${one.shard}:${one.count}`).join(' ')}`
      : `missing ${plan.missingTasks}`;
    assert.equal(got, want, name);
  }
});

test('the shard with most on-demand machines reserves capacity, and shortages are given by zone', () => {
  const fleet = [machine('p'), machine('q'), machine('q'), machine('r', { spot: true })];
  assert.equal(reservingShardZone(GANG, fleet), 'q\na');
  assert.deepEqual(missingGangCapacity([GANG], [machine('p')]), []);
  const [missing] = missingGangCapacity(
    [{ ...GANG, tasks: 5 }],
    [machine('p'), machine('q', { zone: 'b', cpus: 2 })],
  );
  assert.deepEqual([missing?.spec.zone, missing?.count], ['a', 3]);
});

test('gang placement: machines that fetch its image in time come first, arrays are preempted first', () => {
  const urgent: Partial<JobSpec> = { priority: 'high' };
  /** Full of tasks that rank lower and are no arrays: of a gang, say. */
  const gangs = { ...FULL, arrayCpus: 0, arrayMemoryGb: 0 };
  const slow = { type: 'slow' };
  const cases: [string, Partial<JobSpec>, MachineCapacity[], string][] = [
    [
      'a type that fetches quickly, though another has more capacity',
      {},
      [machine('p', { ...slow, cpus: 16, memoryGb: 64 }), machine('q')],
      'immediate q',
    ],
    [
      'a slow one, where no other has capacity',
      {},
      [machine('p', slow), machine('q', { cpus: 0 })],
      'immediate p',
    ],
    // A slow fetch takes less time than arrays need to end, and more than it takes to preempt them.
    ['a slow one before arrays end', {}, [machine('p', slow), machine('q', FULL)], 'immediate p'],
    [
      'arrays are preempted before a slow fetch',
      urgent,
      [machine('p', slow), machine('q', FULL)],
      'afterReclaim q',
    ],
    // Urgent gangs preempted normal ones that had just started, where there were more of them.
    [
      'arrays are preempted before gangs',
      urgent,
      [
        machine('p', { ...gangs, preemptibleCpus: 16, preemptibleMemoryGb: 64 }),
        machine('q', FULL),
      ],
      'afterReclaim q',
    ],
    [
      'gangs are preempted where there are no arrays',
      urgent,
      [machine('p', gangs)],
      'afterReclaim p',
    ],
  ];
  const hints = { lastShardZone: null, isFetchInTime: (type: string) => type !== 'slow' };
  for (const [name, change, machines, want] of cases) {
    const plan = planGang({ ...GANG, ...change }, machines, hints);
    const got = plan.subsets
      ? `${plan.availability} ${plan.subsets.map(({ shard }) => shard).join()}`
      : 'none';
    assert.equal(got, want, name);
  }
});
