import { randomUUID } from 'node:crypto';
import type { Server } from 'node:http';
import type net from 'node:net';
import {
  CROWDED_SHARE,
  CLOUD_TIMEOUT_MS,
  DIRECT_AT_ONCE,
  DIRECT_SOCKETS,
  DIRECT_TIMEOUT_MS,
  KEEP_ALIVE_MS,
  LIST_PAGE,
  MAX_BODY_BYTES,
  PEER_FRAME_BYTES,
  PEER_RETRY_MS,
  RESERVED_SOCKETS,
  RETRY_AFTER_S,
  STATE_SOCKETS,
  STATE_TIMEOUT_MS,
} from '../constants.js';
import type { Log } from '../storage/log.js';
import { HttpCloudApi } from '../protocol/cloud-api.js';
import { decodePeer, encodePeer } from '../protocol/peer-messages.js';
import type { Settings } from '../protocol/settings.js';
import { HttpStateApi } from '../protocol/state-api.js';
import { systemClock } from '../transport/clock.js';
import { HttpWorkerApi } from '../protocol/worker-api.js';
import { HttpClient } from '../transport/http-client.js';
import { listenHttp, type Route } from '../transport/http-server.js';
import { PeerLink, listenPeers } from '../transport/peer-link.js';
import { ControllerNode } from './node.js';

/** A controller with its sockets, on the real clock. */
export class Controller {
  private constructor(
    private readonly node: ControllerNode,
    private readonly links: Map<string, PeerLink>,
    private readonly servers: (Server | net.Server)[],
    private readonly clients: { close(): void }[],
  ) {}

  static async start(settings: Settings, log: Log): Promise<Controller> {
    const clock = systemClock;
    const stateHttp = new HttpClient(settings.state, clock, STATE_SOCKETS);
    const watchHttp = new HttpClient(settings.state, clock, 1);
    const cloudHttp = new HttpClient(settings.cloud, clock, 2);
    const direct = Math.floor(settings.sockets * DIRECT_SOCKETS);
    const connections = settings.sockets - direct - RESERVED_SOCKETS;
    const workers = new HttpWorkerApi(clock, DIRECT_TIMEOUT_MS, direct, DIRECT_AT_ONCE);
    const links = new Map<string, PeerLink>();
    const incarnation = randomUUID();
    const node = new ControllerNode(
      settings,
      {
        clock,
        state: new HttpStateApi(stateHttp, watchHttp, STATE_TIMEOUT_MS),
        cloud: new HttpCloudApi(cloudHttp, CLOUD_TIMEOUT_MS, LIST_PAGE),
        workers,
        connectedPeers: () => [...links].filter(([, link]) => link.connected).map(([name]) => name),
        sendToPeer: (name, message) => links.get(name)?.send(encodePeer(message)) ?? false,
      },
      log,
      incarnation,
    );
    const peerOptions = {
      clock,
      retryMs: PEER_RETRY_MS,
      maxFrameBytes: PEER_FRAME_BYTES,
      onFrame: (frame: Buffer, answer: (frame: Uint8Array) => void) => {
        const message = decodePeer(frame);
        if (message) node.receive(message, (reply) => answer(encodePeer(reply)));
      },
    };
    const routes: Route[] = [
      {
        method: 'POST',
        path: '/checkin',
        keeps: true,
        handle: ({ text }) => node.report(text),
      },
      { method: 'POST', path: '/v2/runs', handle: ({ text }) => node.serve('submit', '', text) },
      { method: 'GET', path: '/v2/runs/:id', handle: ({ id }) => node.serve('poll', id, null) },
      {
        method: 'POST',
        path: '/v2/runs/:id/cancel',
        handle: ({ id }) => node.serve('cancel', id, null),
      },
      { method: 'GET', path: '/metrics', handle: () => node.metrics() },
      {
        method: 'GET',
        path: '/ready',
        handle: () =>
          node.ready
            ? { status: 200, body: { ready: true } }
            : { status: 503, body: { ready: false }, retryAfterS: RETRY_AFTER_S },
      },
    ];
    const http = await listenHttp(
      settings.listen,
      routes,
      {
        bodyBytes: MAX_BODY_BYTES,
        connections,
        crowded: Math.floor(connections * CROWDED_SHARE),
        keepAliveMs: KEEP_ALIVE_MS,
      },
      (error) => log.error({ error: String(error) }, 'request failed'),
    );
    const peers = await listenPeers(settings.peerListen, peerOptions);
    node.start();
    for (const peer of settings.peers) {
      links.set(peer.node, new PeerLink(peer.address, peerOptions));
    }
    log.info({ node: settings.node, incarnation }, 'started');
    return new Controller(node, links, [http, peers], [stateHttp, watchHttp, cloudHttp, workers]);
  }

  stop(): void {
    this.node.stop();
    for (const link of this.links.values()) link.close();
    for (const server of this.servers) server.close();
    for (const client of this.clients) client.close();
  }
}
