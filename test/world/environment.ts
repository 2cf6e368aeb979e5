/** The environment of a simulated controller: clock, key-value store, cloud, workers and peers. */
import type { Environment } from '../../src/coordination/controller/controller-core.js';
import type { Command } from '../../src/protocol/model.js';
import type { PeerMessage } from '../../src/protocol/peer-messages.js';
import type { KeyValueStore } from '../../src/protocol/key-value-store.js';
import type { DirectCommandResult } from '../../src/protocol/worker-api.js';
import { encodeDirectCommands, parseHeartbeat } from '../../src/protocol/worker-codec.js';
import type { Clock } from '../../src/transport/clock.js';
import { OutcomeUnknownError } from '../../src/transport/errors.js';
import type { World } from './world.js';

/** Delay in ms of a message between controllers. */
const PEER_DELAY_MS = 2;
/** ms after which a direct call without an answer times out. */
const DIRECT_TIMEOUT_MS = 2000;

/** Commands that a controller sends to a machine without waiting for its next heartbeat. */
interface DirectCall {
  address: string;
  fencingToken: number;
  workerEpoch: number;
  commands: Command[];
}

/** Delays a result while its controller is paused, and drops it if the controller has stopped. */
type Guarded = <T>(call: Promise<T>) => Promise<T>;

/**
 * Returns the environment of a controller. Events wait while the controller is paused, and a stopped
 * controller receives no events.
 */
export function environmentOf(world: World, name: string, isDead: () => boolean): Environment {
  const guarded: Guarded = (call) =>
    new Promise((resolve, reject) => {
      call.then(
        (value) => world.deliver(name, () => (isDead() ? undefined : resolve(value))),
        (error: Error) => world.deliver(name, () => (isDead() ? undefined : reject(error))),
      );
    });
  return {
    clock: clockOf(world, name, isDead),
    keyValueStore: keyValueStoreOf(world.store.api(name), guarded),
    cloud: world.cloud.api(),
    workers: {
      isAtCallLimit: false,
      command: (address, fencingToken, workerEpoch, commands) =>
        guarded(callDirect(world, name, { address, fencingToken, workerEpoch, commands })),
    },
    connectedPeers: () =>
      [...world.nodes.keys()].filter((peer) => peer !== name && !world.isCut(name, peer)),
    sendToPeer: (peer, message) => sendToPeer(world, name, peer, message),
  };
}

function clockOf(world: World, name: string, isDead: () => boolean): Clock {
  return {
    now: () => world.clock.now(),
    wall: () => world.clock.wall(),
    after: (delay, run) =>
      world.clock.after(delay, () => {
        world.deliver(name, () => {
          if (!isDead()) run();
        });
      }),
  };
}

function keyValueStoreOf(api: KeyValueStore, guarded: Guarded): KeyValueStore {
  return {
    get: (key) => guarded(api.get(key)),
    list: (prefix, after) => guarded(api.list(prefix, after)),
    compareAndSwap: (guards, changes) => guarded(api.compareAndSwap(guards, changes)),
    grant: (ttl) => guarded(api.grant(ttl)),
    extend: (lease) => guarded(api.extend(lease)),
    watch: (prefix, since, wait) => guarded(api.watch(prefix, since, wait)),
  };
}

function sendToPeer(world: World, name: string, peer: string, message: PeerMessage): boolean {
  const other = world.nodes.get(peer);
  if (!other || world.isCut(name, peer)) return false;
  if (world.isLossy(name, peer) || world.oneWayLossyLinks.has(`${name}>${peer}`)) return true;
  const sendReply = (reply: PeerMessage): void => {
    if (world.oneWayLossyLinks.has(`${peer}>${name}`)) return;
    world.clock.after(PEER_DELAY_MS, () => {
      world.deliver(name, () =>
        world.nodes.get(name)?.node.receive(world.onPeerMessage(reply), () => undefined),
      );
    });
  };
  world.clock.after(PEER_DELAY_MS, () => {
    world.deliver(peer, () =>
      world.nodes.get(peer)?.node.receive(world.onPeerMessage(message), sendReply),
    );
  });
  return true;
}

function callDirect(
  world: World,
  node: string,
  { address, fencingToken, workerEpoch, commands }: DirectCall,
): Promise<DirectCommandResult> {
  return new Promise((resolve, reject) => {
    const worker = world.workers.get(world.cloud.machineAt(address) ?? '');
    const isUnreachable = !worker || worker.losesAnswers || world.isCut(node, worker.machine.name);
    const delayMs = Math.max(worker?.directDelayMs ?? 0, worker?.hungMs ?? 0);
    const { calls } = encodeDirectCommands(fencingToken, workerEpoch, commands) as {
      calls: never[];
    };
    world.clock.after(DIRECT_TIMEOUT_MS, () => reject(new OutcomeUnknownError('timed out')));
    if (isUnreachable) return;
    world.clock.after(world.linkDelayMs + delayMs, () => {
      const reply = worker.command(fencingToken, workerEpoch, calls);
      for (const duplicateAfterMs of worker.directDuplicatesAfterMs) {
        world.clock.after(duplicateAfterMs, () => worker.command(fencingToken, workerEpoch, calls));
      }
      const parsed = parseHeartbeat(JSON.parse(reply.body) as Record<string, unknown>);
      if (parsed.ok && delayMs === 0)
        resolve({ executed: reply.status === 200, heartbeat: parsed.value });
    });
  });
}
