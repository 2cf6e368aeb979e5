/**
 * The leader's list of machines with their free capacity. Guards against decoding all records of a
 * large fleet in each scheduling cycle, and against listing machines that are being drained or are
 * gone.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MachineInventory } from '../../src/coordination/capacity/machine-inventory.js';
import { CapacityAccounting } from '../../src/coordination/capacity/capacity-accounting.js';
import { CATALOG, machineKey, statusKey } from '../../src/storage/keys.js';
import type { MachineRecord, StatusRecord } from '../../src/storage/records.js';
import type { StoreReplica } from '../../src/storage/store-replica.js';
import { SimClock } from '../world/clock.js';
import { followingReplica } from '../world/replica.js';
import { TYPES } from '../world/settings.js';
import { SimKeyValueStore } from '../world/key-value-store.js';

const MACHINES = 4_000;
const MACHINES_PER_RECORD = 100;
const MEMBERS = [
  { node: 'p', zone: 'a' },
  { node: 'q', zone: 'b' },
];

const nameOf = (index: number): string => `m-${String(index).padStart(6, '0')}`;

/** Returns a status record that counts how often its machines are read. */
function countedStatus(page: number, count: { reads: number }): StatusRecord {
  const machines: StatusRecord['machines'] = {};
  for (let index = page * MACHINES_PER_RECORD; index < (page + 1) * MACHINES_PER_RECORD; index++) {
    machines[nameOf(index)] = ['small', 'a', 0, 'ok'];
  }
  const ownKeys = (target: StatusRecord['machines']): (string | symbol)[] => {
    count.reads++;
    return Reflect.ownKeys(target);
  };
  return { machines: new Proxy(machines, { ownKeys }) };
}

interface Fleet {
  replica: StoreReplica;
  inventory: MachineInventory;
  count: { reads: number };
  revision: number;
}

function largeFleet(): Fleet {
  const clock = new SimClock();
  const { replica } = followingReplica(clock, new SimKeyValueStore(clock), 1e6);
  const count = { reads: 0 };
  let revision = 1;
  const record: MachineRecord = { state: 'rented', type: 'small', zone: 'a', spot: false, at: 0 };
  replica.applyOwnChanges([{ key: CATALOG, value: TYPES, revision: revision++ }]);
  for (let index = 0; index < MACHINES; index++) {
    replica.applyOwnChanges([
      { key: machineKey(nameOf(index)), value: record, revision: revision++ },
    ]);
  }
  for (let page = 0; page < MACHINES / MACHINES_PER_RECORD / 2; page++) {
    const value = countedStatus(page, count);
    replica.applyOwnChanges([{ key: statusKey('p', page), value, revision: revision++ }]);
  }
  const inventory = new MachineInventory(MEMBERS, replica, new CapacityAccounting(replica, clock));
  return { replica, inventory, count, revision };
}

// When each scheduling cycle decoded the records of the whole fleet, this took an eighth of the CPU
// time of a small controller, without interruption, which delayed the heartbeats of workers.
test('repeated listings of 4,000 machines decode only records that changed', () => {
  const { replica, inventory, count, revision } = largeFleet();
  const pages = MACHINES / MACHINES_PER_RECORD / 2;
  for (let cycle = 0; cycle < 5; cycle++) {
    const machines = [...inventory.machines().values()];
    assert.equal(machines.length, MACHINES);
    assert.equal(machines.filter(({ health }) => health === 'ok').length, MACHINES / 2);
    assert.equal(machines.filter(({ health }) => health === 'booting').length, MACHINES / 2);
  }
  assert.equal(count.reads, pages, 'each record is decoded once');
  const changed = countedStatus(0, count);
  changed.machines[nameOf(0)] = ['small', 'a', 0, 'silent'];
  replica.applyOwnChanges([{ key: statusKey('p', 0), value: changed, revision }]);
  assert.equal(inventory.machines().get(nameOf(0))?.health, 'silent');
  assert.equal(count.reads, pages + 1, 'a changed record is decoded once more');
});

test('a machine that is being drained or is gone is not listed even if its shard reports it', () => {
  const { replica, inventory, revision } = largeFleet();
  const record: MachineRecord = { state: 'drain', type: 'small', zone: 'a', spot: false, at: 0 };
  assert.ok(inventory.machines().has(nameOf(1)));
  replica.applyOwnChanges([
    { key: machineKey(nameOf(1)), value: record, revision },
    { key: machineKey(nameOf(2)), value: { ...record, state: 'gone' }, revision },
  ]);
  assert.ok(!inventory.machines().has(nameOf(1)));
  assert.ok(!inventory.machines().has(nameOf(2)));
  assert.equal(inventory.machines().size, MACHINES - 2);
});
