/** A controller with its servers, clients and connections to peers, as a process runs it. */

import { randomUUID } from 'node:crypto';
import type { Server } from 'node:http';
import type net from 'node:net';
import { RETRY_AFTER_S } from '../../constants/api.js';
import {
  CLOUD_TIMEOUT_MS,
  SOFT_CONNECTION_LIMIT_FRACTION,
  MAX_CONCURRENT_DIRECT_CALLS,
  DIRECT_SOCKET_FRACTION,
  DIRECT_CALL_TIMEOUT_MS,
  HARD_CONNECTION_LIMIT_FRACTION,
  KEEP_ALIVE_MS,
  MAX_PEER_FRAME_BYTES,
  PEER_RECONNECT_MS,
  RESERVED_SOCKETS,
  STORE_SOCKETS,
} from '../../constants/controller.js';
import { MACHINE_LIST_PAGE_SIZE, MAX_BODY_BYTES } from '../../constants/protocol.js';
import { STORE_TIMEOUT_MS } from '../../constants/storage.js';
import type { Log } from '../../storage/log.js';
import { HttpCloudApi } from '../../protocol/cloud-api.js';
import { decodePeerMessage, encodePeerMessage } from '../../protocol/peer-messages.js';
import type { Settings } from '../../protocol/settings.js';
import { HttpKeyValueStore } from '../../protocol/http-key-value-store.js';
import { systemClock } from '../../transport/clock.js';
import { HttpWorkerApi } from '../../protocol/worker-api.js';
import { HttpClient } from '../../transport/http-client.js';
import {
  listenHttp,
  type HttpReply,
  type Route,
  type ServerLimits,
} from '../../transport/http-server.js';
import { PeerLink, listenPeers, type PeerLinkOptions } from '../../transport/peer-link.js';
import { ControllerCore, type Environment } from './controller-core.js';
import type { CreateDetection, DetectionService } from '../failure-detection/detection-service.js';

/** Connections to the cloud: one for rentals and one for lists. */
const CLOUD_SOCKETS = 2;

/** Content type of a text with one JSON object per line. */
const NDJSON = 'application/x-ndjson';

/** Numbers of sockets for direct calls to workers, and for the HTTP server's connections. */
interface SocketBudget {
  direct: number;
  connections: number;
}

function divideSockets(sockets: number): SocketBudget {
  const direct = Math.floor(sockets * DIRECT_SOCKET_FRACTION);
  return { direct, connections: sockets - direct - RESERVED_SOCKETS };
}

function readinessReply(core: ControllerCore): HttpReply {
  return core.isReady
    ? { status: 200, body: { ready: true } }
    : { status: 503, body: { ready: false }, retryAfterS: RETRY_AFTER_S };
}

function detectionRoutes(detection: DetectionService | null): Route[] {
  if (!detection) return [];
  const handle = (): HttpReply => ({ status: 200, body: detection.export(), contentType: NDJSON });
  return [{ method: 'GET', path: '/detections', handle }];
}

function createRoutes(core: ControllerCore): Route[] {
  return [
    ...detectionRoutes(core.detection),
    {
      method: 'POST',
      path: '/checkin',
      keepsConnection: true,
      handle: ({ text }) => core.handleHeartbeat(text),
    },
    {
      method: 'POST',
      path: '/v2/runs',
      handle: ({ text }) => core.handleUserRequest('submit', '', text),
    },
    {
      method: 'GET',
      path: '/v2/runs/:id',
      handle: ({ id }) => core.handleUserRequest('poll', id, null),
    },
    {
      method: 'POST',
      path: '/v2/runs/:id/cancel',
      handle: ({ id }) => core.handleUserRequest('cancel', id, null),
    },
    { method: 'GET', path: '/metrics', handle: () => core.metrics() },
    { method: 'GET', path: '/ready', handle: () => readinessReply(core) },
  ];
}

function serverLimits(connections: number): ServerLimits {
  return {
    maxBodyBytes: MAX_BODY_BYTES,
    maxConnections: connections,
    softConnectionLimit: Math.floor(connections * SOFT_CONNECTION_LIMIT_FRACTION),
    hardConnectionLimit: Math.floor(connections * HARD_CONNECTION_LIMIT_FRACTION),
    keepAliveMs: KEEP_ALIVE_MS,
  };
}

function createPeerOptions(core: ControllerCore): PeerLinkOptions {
  return {
    clock: systemClock,
    reconnectMs: PEER_RECONNECT_MS,
    maxFrameBytes: MAX_PEER_FRAME_BYTES,
    onFrame: (frame, respond) => {
      const message = decodePeerMessage(frame);
      if (message) core.receive(message, (reply) => respond(encodePeerMessage(reply)));
    },
  };
}

/** Returns the core's environment over real sockets, and the clients to close on `stop`. */
function connectEnvironment(
  settings: Settings,
  directSockets: number,
  links: Map<string, PeerLink>,
): { environment: Environment; clients: { close(): void }[] } {
  const clock = systemClock;
  const storeHttp = new HttpClient(settings.storeAddress, clock, STORE_SOCKETS);
  const watchHttp = new HttpClient(settings.storeAddress, clock, 1);
  const cloudHttp = new HttpClient(settings.cloudAddress, clock, CLOUD_SOCKETS);
  const workers = new HttpWorkerApi(
    clock,
    DIRECT_CALL_TIMEOUT_MS,
    directSockets,
    MAX_CONCURRENT_DIRECT_CALLS,
  );
  const environment: Environment = {
    clock,
    keyValueStore: new HttpKeyValueStore(storeHttp, watchHttp, STORE_TIMEOUT_MS),
    cloud: new HttpCloudApi(cloudHttp, CLOUD_TIMEOUT_MS, MACHINE_LIST_PAGE_SIZE),
    workers,
    connectedPeers: () => [...links].filter(([, link]) => link.isConnected).map(([name]) => name),
    sendToPeer: (name, message) => links.get(name)?.send(encodePeerMessage(message)) ?? false,
  };
  return { environment, clients: [storeHttp, watchHttp, cloudHttp, workers] };
}

/** Loads failure detection only if it is enabled, so that a start without it takes less time. */
async function loadDetection({ suspicion }: Settings): Promise<CreateDetection> {
  if (!suspicion) return null;
  const { FailureDetection } = await import('../failure-detection/failure-detection.js');
  return (options) => new FailureDetection(options, suspicion);
}

/** A controller with its sockets, on the real clock. */
export class Controller {
  private constructor(
    private readonly core: ControllerCore,
    private readonly links: Map<string, PeerLink>,
    private readonly servers: (Server | net.Server)[],
    private readonly clients: { close(): void }[],
  ) {}

  /** Starts a controller; resolves once it accepts connections of users, workers and peers. */
  static async start(settings: Settings, log: Log): Promise<Controller> {
    const { direct, connections } = divideSockets(settings.maxSockets);
    const links = new Map<string, PeerLink>();
    const { environment, clients } = connectEnvironment(settings, direct, links);
    const incarnation = randomUUID();
    const createDetection = await loadDetection(settings);
    const core = new ControllerCore({ settings, environment, log, incarnation, createDetection });
    const httpServer = await listenHttp(
      settings.listenAddress,
      createRoutes(core),
      serverLimits(connections),
      (error) => log.error({ error: String(error) }, 'HTTP request handler failed'),
    );
    const peerOptions = createPeerOptions(core);
    const peerServer = await listenPeers(settings.peerListenAddress, peerOptions);
    core.start();
    for (const peer of settings.peers) {
      links.set(peer.node, new PeerLink(peer.address, peerOptions));
    }
    log.info({ node: settings.node, incarnation }, 'controller started');
    return new Controller(core, links, [httpServer, peerServer], clients);
  }

  /** Stops the core and closes all sockets. */
  stop(): void {
    this.core.stop();
    for (const link of this.links.values()) link.close();
    for (const server of this.servers) server.close();
    for (const client of this.clients) client.close();
  }
}
