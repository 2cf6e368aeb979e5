/**
 * Plans for gangs. Guards against gangs that wait for capacity in which they never fit, that start
 * late because a machine fetches the image slowly, and that preempt other gangs although preempting
 * arrays suffices.
 */
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

let machineCount = 0;
const machine = (shard: string, change: Partial<MachineCapacity> = {}): MachineCapacity => ({
  name: `m-${++machineCount}`,
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
/**
 * Properties of a machine that is full of small array tasks: no CPU and 2 GB of memory are free.
 */
const FULL = {
  cpus: 0,
  memoryGb: 2,
  preemptibleCpus: 4,
  preemptibleMemoryGb: 14,
  arrayCpus: 4,
  arrayMemoryGb: 14,
};

test('a gang is planned on one shard before several, on free before reclaimable capacity, or not at all', () => {
  const cases: [string, Partial<JobSpec>, MachineCapacity[], string][] = [
    ['one shard has the capacity', {}, [machine('p'), machine('q', { cpus: 2 })], 'immediate p:2'],
    [
      'two shards have the capacity together',
      {},
      [machine('p', { cpus: 2 }), machine('q', { cpus: 2 })],
      'immediate p:1 q:1',
    ],
    [
      'two zones have the capacity together, but one zone is required',
      {},
      [machine('p', { cpus: 2 }), machine('q', { cpus: 2, zone: 'b' })],
      'missing 1',
    ],
    [
      'two zones have the capacity together, and any zone is allowed',
      { oneZone: false },
      [machine('p', { cpus: 2 }), machine('q', { cpus: 2, zone: 'b' })],
      'immediate p:1 q:1',
    ],
    [
      'a spread gang gets at most half in a zone',
      { oneZone: false, spread: true },
      [machine('p'), machine('q', { zone: 'b' })],
      'immediate p:1 q:1',
    ],
    // When reclaimable capacity was counted in CPUs only, gangs waited permanently for memory that
    // was not released, and arrays behind them did not start.
    ['arrays release CPUs and memory when they end', {}, [machine('p', FULL)], 'afterReclaim p:2'],
    [
      'arrays release CPUs but no memory',
      {},
      [machine('p', { ...FULL, arrayMemoryGb: 0 })],
      'missing 2',
    ],
    [
      'an urgent gang may preempt arrays',
      { priority: 'high' },
      [machine('p', FULL)],
      'afterReclaim p:2',
    ],
    ['a spot machine is not used', {}, [machine('p', { spot: true })], 'missing 2'],
  ];
  for (const [name, change, machines, want] of cases) {
    const plan = planGang({ ...GANG, ...change }, machines);
    const got = plan.subsets
      ? `${plan.availability} ${plan.subsets.map((subset) => `${subset.shard}:${subset.count}`).join(' ')}`
      : `missing ${plan.missingTasks}`;
    assert.equal(got, want, name);
  }
});

test('the shard zone with the most on-demand machines reserves capacity, and missing capacity names its zone', () => {
  const fleet = [machine('p'), machine('q'), machine('q'), machine('r', { spot: true })];
  assert.equal(reservingShardZone(GANG, fleet), 'q\na');
  assert.deepEqual(missingGangCapacity([GANG], [machine('p')]), []);
  const [missing] = missingGangCapacity(
    [{ ...GANG, tasks: 5 }],
    [machine('p'), machine('q', { zone: 'b', cpus: 2 })],
  );
  assert.deepEqual([missing?.spec.zone, missing?.count], ['a', 3]);
});

test('a gang is planned on machines that fetch its image in time first, and preempts arrays before gangs', () => {
  const urgent: Partial<JobSpec> = { priority: 'high' };
  /** Full of preemptible tasks that belong to no array, for example to gangs. */
  const fullOfGangs = { ...FULL, arrayCpus: 0, arrayMemoryGb: 0 };
  const slow = { type: 'slow' };
  const cases: [string, Partial<JobSpec>, MachineCapacity[], string][] = [
    [
      'a type that fetches in time, although another type has more capacity',
      {},
      [machine('p', { ...slow, cpus: 16, memoryGb: 64 }), machine('q')],
      'immediate q',
    ],
    [
      'a slow type, if no other has capacity',
      {},
      [machine('p', slow), machine('q', { cpus: 0 })],
      'immediate p',
    ],
    // A slow fetch takes less time than arrays take to end, and more than preempting them takes.
    [
      'a slow type rather than waiting until arrays end',
      {},
      [machine('p', slow), machine('q', FULL)],
      'immediate p',
    ],
    [
      'arrays are preempted rather than using a slow type',
      urgent,
      [machine('p', slow), machine('q', FULL)],
      'afterReclaim q',
    ],
    // Urgent gangs preempted gangs of normal priority that had just started, if these had more
    // preemptible capacity than arrays.
    [
      'arrays are preempted before gangs',
      urgent,
      [
        machine('p', { ...fullOfGangs, preemptibleCpus: 16, preemptibleMemoryGb: 64 }),
        machine('q', FULL),
      ],
      'afterReclaim q',
    ],
    [
      'gangs are preempted if there are no arrays',
      urgent,
      [machine('p', fullOfGangs)],
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
