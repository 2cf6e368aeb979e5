/** The leader's view of the fleet: complete at any size, and decoded only where it changed. */
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
const PER_SHARD = 100;
const MEMBERS = [
  { node: 'p', zone: 'a' },
  { node: 'q', zone: 'b' },
];

const nameOf = (index: number): string => `m-${String(index).padStart(6, '0')}`;

/** A status record that counts how often its machines are listed. */
function countedStatus(page: number, count: { reads: number }): StatusRecord {
  const machines: StatusRecord['machines'] = {};
  for (let at = page * PER_SHARD; at < (page + 1) * PER_SHARD; at++) {
    machines[nameOf(at)] = ['small', 'a', 0, 'ok'];
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
  for (let at = 0; at < MACHINES; at++) {
    replica.applyOwnChanges([{ key: machineKey(nameOf(at)), value: record, revision: revision++ }]);
  }
  for (let page = 0; page < MACHINES / PER_SHARD / 2; page++) {
    const value = countedStatus(page, count);
    replica.applyOwnChanges([{ key: statusKey('p', page), value, revision: revision++ }]);
  }
  const inventory = new MachineInventory(MEMBERS, replica, new CapacityAccounting(replica, clock));
  return { replica, inventory, count, revision };
}

// Each pass of the leader decoded the records of the whole fleet anew: an eighth of its processor
// time on a small controller, in one stretch that delayed the heartbeats of workers.
test('a pass decodes only the records that changed, and lists 4,000 machines', () => {
  const { replica, inventory, count, revision } = largeFleet();
  const pages = MACHINES / PER_SHARD / 2;
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
  assert.equal(count.reads, pages + 1, 'and once more when it changes');
});

test('a machine that drains or is gone is not counted, whatever its shard says', () => {
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
