/** A controller without its sockets: connects the services, the control loops and the endpoints. */
import { ARMS, NODES, ROLES } from '../../storage/keys.js';
import type { Log } from '../../storage/log.js';
import { PassSteps } from '../../storage/pass-steps.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import type { PeerMessage } from '../../protocol/peer-messages.js';
import type { Settings } from '../../protocol/settings.js';
import type { HttpReply } from '../../transport/http-server.js';
import type { Leader } from '../leader/leader.js';
import { ActiveRoles } from './active-roles.js';
import type { Environment } from '../../protocol/environment.js';
import type { CreateDetection, DetectionService } from '../failure-detection/detection-service.js';
import { createControllerServices, type ControllerServices } from './controller-services.js';
import { PeerEndpoint } from './peer-endpoint.js';
import { PeerRelay } from './peer-relay.js';
import { RequestLog } from './request-log.js';
import { createControlLoops, type ControlLoops } from './control-loops.js';
import { UserEndpoint, type UserRequest } from './user-endpoint.js';
import { HeartbeatEndpoint } from './heartbeat-endpoint.js';
import type { Shard } from '../shard/shard.js';

export type { Environment } from '../../protocol/environment.js';

/** Options of a controller. */
export interface ControllerCoreOptions {
  readonly settings: Settings;
  readonly environment: Environment;
  readonly log: Log;
  /** Identifier that no other process of this controller ever has. */
  readonly incarnation: string;
  /**
   * Creates failure detection; without it, roles fail over by the key-value store's leases alone.
   */
  readonly createDetection?: CreateDetection;
}

/**
 * A controller without its sockets, so that tests can run several in a simulated network. All
 * decisions of a controller are made in it.
 */
export class ControllerCore {
  private readonly services: ControllerServices;
  private readonly activeRoles: ActiveRoles;
  private readonly userEndpoint: UserEndpoint;
  private readonly heartbeatEndpoint: HeartbeatEndpoint;
  private readonly peerEndpoint: PeerEndpoint;
  private readonly peerRelay: PeerRelay;
  private readonly requestLog: RequestLog;
  private readonly loops: ControlLoops;
  private readonly steps: PassSteps;
  private readMetrics: (() => Promise<string>) | null = null;

  constructor(options: ControllerCoreOptions) {
    const { environment, log, settings } = options;
    const services = createControllerServices({
      createDetection: null,
      ...options,
      detectionEvents: {
        onSteppedDown: () => this.activeRoles.sync(),
        onChanged: () => this.loops.election.wake(),
      },
    });
    const { limiter, members, reachability, replica, election, userRequests } = services;
    const { clock } = environment;
    this.services = services;
    this.steps = new PassSteps(log, { node: settings.node });
    this.activeRoles = new ActiveRoles(services, {
      onShardWork: () => this.loops.shards.wake(),
      onLeadershipGained: () => {
        this.loops.leader.wake();
        this.loops.autoscaler.wake();
      },
    });
    const { activeRoles } = this;
    const peerRelay = new PeerRelay(environment);
    this.peerRelay = peerRelay;
    const { node } = settings;
    const isSingle = settings.peers.length === 0;
    const userOptions = { environment, userRequests, reachability, limiter, peerRelay, isSingle };
    this.userEndpoint = new UserEndpoint(userOptions);
    this.heartbeatEndpoint = new HeartbeatEndpoint({
      controllerName: node,
      clock,
      members,
      election,
      activeRoles,
      peerRelay,
    });
    const { userEndpoint, heartbeatEndpoint } = this;
    const { detection } = services;
    this.peerEndpoint = new PeerEndpoint({
      replica,
      peerRelay,
      userEndpoint,
      heartbeatEndpoint,
      detection,
    });
    this.requestLog = new RequestLog({ clock, log, limiter, userRequests });
    this.loops = this.createLoops();
    replica.onChange((keys) => this.handleReplicaChange(keys));
  }

  /** Starts the watch of the key-value store, the loops and failure detection. */
  start(): void {
    void this.replica.follow();
    const { autoscaler, leader, shards, election } = this.loops;
    for (const loop of [election, shards, leader, autoscaler]) loop.schedule(0);
    this.detection?.start();
  }

  /** Stops the loops, failure detection and the watch of the key-value store. */
  stop(): void {
    const { autoscaler, leader, shards, election } = this.loops;
    for (const loop of [election, shards, leader, autoscaler]) loop.stop();
    this.detection?.stop();
    this.replica.stop();
  }

  /** This controller's replica of the key-value store. */
  get replica(): StoreReplica {
    return this.services.replica;
  }

  /** Failure detection between the controllers; null: it is disabled. */
  get detection(): DetectionService | null {
    return this.services.detection;
  }

  /** The shards that this controller holds. */
  get heldShards(): ReadonlyMap<string, Shard> {
    return this.activeRoles.shards;
  }

  /** The leader; null: this controller does not hold the leader's role. */
  get leader(): Leader | null {
    return this.activeRoles.leader;
  }

  /**
   * Whether users' requests can be answered by this controller, or through it by a peer. During an
   * outage of the key-value store that affects all controllers the value stays true, since a
   * controller that was taken out of service gets requests again only with a delay.
   */
  get isReady(): boolean {
    return this.userEndpoint.isReady;
  }

  /** Returns the time in ms since the replica was last known to be current. */
  replicaAgeMs(): number {
    return this.services.environment.clock.now() - this.replica.knownCurrentAt;
  }

  /** Returns the metrics in the Prometheus text format; their library is loaded on first use. */
  async metrics(): Promise<HttpReply> {
    if (!this.readMetrics) {
      const { createMetricsReader } = await import('./metrics.js');
      this.readMetrics = createMetricsReader(this);
    }
    return {
      status: 200,
      body: await this.readMetrics(),
      contentType: 'text/plain; version=0.0.4',
    };
  }

  /** Serves a user's request; `jobId` is '' in a submission. */
  handleUserRequest(
    operation: UserRequest['operation'],
    jobId: string,
    body: string | null,
  ): Promise<HttpReply> {
    return this.userEndpoint.handle({ operation, jobId, body });
  }

  /** Serves a worker's heartbeat. */
  handleHeartbeat(body: string | null): Promise<HttpReply> {
    return this.heartbeatEndpoint.handle(body);
  }

  /** Handles a peer's message; `respond` sends a message back to that peer. */
  receive(message: PeerMessage, respond: (message: PeerMessage) => void): void {
    this.peerEndpoint.receive(message, respond);
  }

  private createLoops(): ControlLoops {
    const { environment, log } = this.services;
    return createControlLoops({
      clock: environment.clock,
      log,
      activeRoles: this.activeRoles,
      reconcileElection: () => this.reconcileElection(),
      reconcileShards: () => this.reconcileShards(),
    });
  }

  /**
   * Runs one pass of the election, then claims a new term for each held role that has used half of
   * its term's attempt numbers or fencing tokens.
   */
  private async reconcileElection(): Promise<void> {
    const { election } = this.services;
    await election.reconcile();
    for (const role of this.activeRoles.rolesNeedingTermRenewal()) await election.renewTerm(role);
  }

  /** Runs one pass of each shard in turn, and the periodic work that needs no loop of its own. */
  private async reconcileShards(): Promise<void> {
    const { steps } = this;
    steps.run('write request log', () => this.requestLog.writeIfDue());
    steps.run('record probe times', () => this.detection?.recordProbeTimesIfDue());
    for (const [name, shard] of [...this.heldShards]) {
      await steps.runAsync(`reconcile shard ${name}`, () => shard.reconcile());
    }
    steps.run('remove forward times', () => this.heartbeatEndpoint.removeExpiredForwardTimes());
    steps.run('probe peers', () => this.peerRelay.probeUnresponsivePeers());
  }

  /**
   * Passes changed keys of the replica to the active roles, and wakes the loops that they affect.
   */
  private handleReplicaChange(keys: string[]): void {
    let shardsAffected = false;
    let rolesAffected = false;
    let leaderAffected = false;
    for (const key of keys) {
      if (this.activeRoles.handleKeyChange(key).affectsShards) shardsAffected = true;
      if (key.startsWith(ROLES) || key.startsWith(NODES)) rolesAffected = true;
      else if (!key.startsWith(ARMS)) leaderAffected = true;
    }
    this.activeRoles.sync();
    if (rolesAffected) this.loops.election.wake();
    if (shardsAffected || rolesAffected) this.loops.shards.wake();
    if (leaderAffected && this.leader) this.loops.leader.wake();
  }
}
