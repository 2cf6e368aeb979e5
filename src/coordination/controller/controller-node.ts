/** One controller without its sockets: it connects the services, the loops and the entry points. */
import {
  AUTOSCALER_MS,
  LEADER_GATHER_MS,
  LOOP_IDLE_MS,
  LOOP_MS,
  LOOP_REST,
  ROLES_MS,
} from '../../constants/controller.js';
import { ARMS, NODES, ROLES } from '../../storage/keys.js';
import type { Log } from '../../storage/log.js';
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
import { ControlLoop, type ControlLoopOptions } from './control-loop.js';
import { UserEndpoint, type UserRequest } from './user-endpoint.js';
import { HeartbeatEndpoint } from './heartbeat-endpoint.js';
import type { Shard } from '../shard/shard.js';

export type { Environment } from '../../protocol/environment.js';

/** The periodic loops of a node. */
interface NodeLoops {
  readonly roles: ControlLoop;
  readonly shards: ControlLoop;
  readonly leader: ControlLoop;
  readonly fleet: ControlLoop;
}

/** What a node is created from. */
export interface ControllerNodeOptions {
  readonly settings: Settings;
  readonly environment: Environment;
  readonly log: Log;
  /** Identifies this process among all that ever ran as this node. */
  readonly incarnation: string;
  /** Creates failure detection; without it the state service's word alone decides. */
  readonly createDetection?: CreateDetection;
}

/** One controller without its sockets: everything that it decides is in here. */
export class ControllerNode {
  private readonly services: ControllerServices;
  private readonly activeRoles: ActiveRoles;
  private readonly userEndpoint: UserEndpoint;
  private readonly heartbeatEndpoint: HeartbeatEndpoint;
  private readonly peerEndpoint: PeerEndpoint;
  private readonly relay: PeerRelay;
  private readonly requestLog: RequestLog;
  private readonly loops: NodeLoops;
  private readMetrics: (() => Promise<string>) | null = null;

  constructor(options: ControllerNodeOptions) {
    const { environment, log, settings } = options;
    const services = createControllerServices({
      createDetection: null,
      ...options,
      detectionEvents: {
        onSteppedDown: () => this.activeRoles.sync(),
        onChanged: () => this.loops.roles.wake(),
      },
    });
    const { limiter, members, reachability, replica, roles, userRequests } = services;
    const { clock } = environment;
    this.services = services;
    this.activeRoles = new ActiveRoles(services, {
      onShardWork: () => this.loops.shards.wake(),
      onLeading: () => {
        this.loops.leader.wake();
        this.loops.fleet.wake();
      },
    });
    const { activeRoles } = this;
    const relay = new PeerRelay(environment);
    this.relay = relay;
    const { node } = settings;
    const isAlone = settings.peers.length === 0;
    const userServices = { environment, userRequests, reachability, limiter, relay, isAlone };
    this.userEndpoint = new UserEndpoint(userServices);
    this.heartbeatEndpoint = new HeartbeatEndpoint({
      node,
      clock,
      members,
      roles,
      activeRoles,
      relay,
    });
    const { userEndpoint, heartbeatEndpoint } = this;
    const { detection } = services;
    this.peerEndpoint = new PeerEndpoint({
      replica,
      relay,
      userEndpoint,
      heartbeatEndpoint,
      detection,
    });
    this.requestLog = new RequestLog({ clock, log, limiter, userRequests });
    this.loops = this.createLoops();
    replica.onChange((keys) => this.storeChanged(keys));
  }

  /** Begins to follow the state service and to run the loops. */
  start(): void {
    void this.replica.follow();
    const { fleet, leader, shards, roles } = this.loops;
    for (const loop of [roles, shards, leader, fleet]) loop.schedule(0);
    this.detection?.start();
  }

  /** Ends the loops and the watch of the state service. */
  stop(): void {
    const { fleet, leader, shards, roles } = this.loops;
    for (const loop of [roles, shards, leader, fleet]) loop.stop();
    this.detection?.stop();
    this.replica.stop();
  }

  /** This node's replica of what the state service holds. */
  get replica(): StoreReplica {
    return this.services.replica;
  }

  /** Failure detection between the nodes; null: it is off. */
  get detection(): DetectionService | null {
    return this.services.detection;
  }

  /** The parts that this node owns. */
  get shards(): ReadonlyMap<string, Shard> {
    return this.activeRoles.shards;
  }

  /** The leader; null: another node leads, or none. */
  get leader(): Leader | null {
    return this.activeRoles.leader;
  }

  /**
   * Whether users' requests can be answered here, or through this node by a peer. In an outage that
   * all nodes share it stays true, since a node taken out is only let back in late.
   */
  get ready(): boolean {
    return this.userEndpoint.ready;
  }

  /** ms since the replica was last known to be current. */
  viewAgeMs(): number {
    return this.services.environment.clock.now() - this.replica.knownCurrentAt;
  }

  /** The node's metrics in the Prometheus text format; their library is loaded on first use. */
  async metrics(): Promise<HttpReply> {
    if (!this.readMetrics) {
      const { metricsOf } = await import('./metrics.js');
      this.readMetrics = metricsOf(this);
    }
    return { status: 200, body: await this.readMetrics(), type: 'text/plain; version=0.0.4' };
  }

  /** Serves a user's request; `about`: the id of the job, or '' in a submission. */
  serve(ask: UserRequest['ask'], about: string, text: string | null): Promise<HttpReply> {
    return this.userEndpoint.serve({ ask, about, text });
  }

  /** Serves a worker's report. */
  heartbeat(text: string | null): Promise<HttpReply> {
    return this.heartbeatEndpoint.heartbeat(text);
  }

  /** Handles a peer's message; `answer` sends one back to it. */
  receive(message: PeerMessage, answer: (message: PeerMessage) => void): void {
    this.peerEndpoint.receive(message, answer);
  }

  private createLoops(): NodeLoops {
    const { activeRoles } = this;
    const { environment, log } = this.services;
    const loop = (options: Omit<ControlLoopOptions, 'clock' | 'log'>): ControlLoop =>
      new ControlLoop({ ...options, clock: environment.clock, log });
    return {
      roles: loop({ name: 'roles', reconcile: () => this.runRoles(), idleMs: () => ROLES_MS }),
      shards: loop({ name: 'parts', reconcile: () => this.runShards() }),
      leader: loop({
        name: 'leader',
        reconcile: () => activeRoles.runLeader(),
        lastCycleCpuMs: () =>
          Math.max(LEADER_GATHER_MS / LOOP_REST, this.leader?.lastCycleCpuMs ?? 0),
        idleMs: () => (this.leader ? LOOP_MS : LOOP_IDLE_MS),
      }),
      fleet: loop({
        name: 'fleet',
        reconcile: () => activeRoles.runAutoscaler(),
        idleMs: () => (this.leader ? AUTOSCALER_MS : LOOP_IDLE_MS),
      }),
    };
  }

  /** One round of the roles, and new terms for those that run out of numbers. */
  private async runRoles(): Promise<void> {
    const { roles } = this.services;
    await roles.reconcile();
    for (const role of this.activeRoles.rolesNeedingTermRenewal()) await roles.renewTerm(role);
  }

  /** One round of each part, one after the other, and what is due periodically beside them. */
  private async runShards(): Promise<void> {
    this.requestLog.writeIfDue();
    this.detection?.recordProbeTimesIfDue();
    for (const shard of [...this.shards.values()]) await shard.reconcile();
    this.heartbeatEndpoint.forgetOldRedirects();
    this.relay.probeSilent();
  }

  /** Passes changed keys of the replica on and wakes the loops that they concern. */
  private storeChanged(keys: string[]): void {
    let shardsAffected = false;
    let rolesAffected = false;
    let leaderAffected = false;
    for (const key of keys) {
      if (this.activeRoles.keyChanged(key).affectsShards) shardsAffected = true;
      if (key.startsWith(ROLES) || key.startsWith(NODES)) rolesAffected = true;
      else if (!key.startsWith(ARMS)) leaderAffected = true;
    }
    this.activeRoles.sync();
    if (rolesAffected) this.loops.roles.wake();
    if (shardsAffected || rolesAffected) this.loops.shards.wake();
    if (leaderAffected && this.leader) this.loops.leader.wake();
  }
}
