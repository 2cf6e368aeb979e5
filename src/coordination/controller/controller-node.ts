/** One controller without its sockets: it connects the services, the loops and the entry points. */
import {
  FLEET_MS,
  LEADER_GATHER_MS,
  LOOP_IDLE_MS,
  LOOP_MS,
  LOOP_REST,
  ROLES_MS,
} from '../../constants.js';
import { ARMS, NODES, ROLES } from '../../storage/keys.js';
import type { Log } from '../../storage/log.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import type { PeerMessage } from '../../protocol/peer-messages.js';
import type { Settings } from '../../protocol/settings.js';
import type { HttpReply } from '../../transport/http-server.js';
import type { Leader } from '../leader/leader.js';
import { ActiveRoles } from './active-roles.js';
import type { Environment } from '../../protocol/environment.js';
import type { CreateDetection, NodeDetection } from '../failure-detection/detection-service.js';
import { createNodeServices, type NodeServices } from './controller-services.js';
import { PeerEntry } from './peer-endpoint.js';
import { PeerRelay } from './peer-relay.js';
import { RequestLog } from './request-log.js';
import { RoundLoop, type RoundLoopOptions } from './control-loop.js';
import { UserEntry, type UserRequest } from './user-endpoint.js';
import { WorkerEntry } from './heartbeat-endpoint.js';
import type { Part } from '../shard/shard.js';

export type { Environment } from '../../protocol/environment.js';

/** The periodic loops of a node. */
interface NodeLoops {
  readonly roles: RoundLoop;
  readonly parts: RoundLoop;
  readonly leader: RoundLoop;
  readonly fleet: RoundLoop;
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
  private readonly services: NodeServices;
  private readonly activeRoles: ActiveRoles;
  private readonly userEntry: UserEntry;
  private readonly workerEntry: WorkerEntry;
  private readonly peerEntry: PeerEntry;
  private readonly relay: PeerRelay;
  private readonly requestLog: RequestLog;
  private readonly loops: NodeLoops;
  private readMetrics: (() => Promise<string>) | null = null;

  constructor(options: ControllerNodeOptions) {
    const { environment, log, settings } = options;
    const services = createNodeServices({
      createDetection: null,
      ...options,
      detectionEvents: {
        onStoodDown: () => this.activeRoles.sync(),
        onChanged: () => this.loops.roles.wake(),
      },
    });
    const { limiter, members, reachability, replica, roles, userRequests } = services;
    const { clock } = environment;
    this.services = services;
    this.activeRoles = new ActiveRoles(services, {
      onPartWork: () => this.loops.parts.wake(),
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
    this.userEntry = new UserEntry(userServices);
    this.workerEntry = new WorkerEntry({ node, clock, members, roles, activeRoles, relay });
    const { userEntry, workerEntry } = this;
    const { detection } = services;
    this.peerEntry = new PeerEntry({ replica, relay, userEntry, workerEntry, detection });
    this.requestLog = new RequestLog({ clock, log, limiter, userRequests });
    this.loops = this.createLoops();
    replica.onChange((keys) => this.storeChanged(keys));
  }

  /** Begins to follow the state service and to run the loops. */
  start(): void {
    void this.replica.follow();
    const { fleet, leader, parts, roles } = this.loops;
    for (const loop of [roles, parts, leader, fleet]) loop.schedule(0);
    this.detection?.start();
  }

  /** Ends the loops and the watch of the state service. */
  stop(): void {
    for (const loop of Object.values(this.loops)) loop.stop();
    this.detection?.stop();
    this.replica.stop();
  }

  /** This node's replica of what the state service holds. */
  get replica(): StoreReplica {
    return this.services.replica;
  }

  /** Failure detection between the nodes; null: it is off. */
  get detection(): NodeDetection | null {
    return this.services.detection;
  }

  /** The parts that this node owns. */
  get parts(): ReadonlyMap<string, Part> {
    return this.activeRoles.parts;
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
    return this.userEntry.ready;
  }

  /** ms since the replica was last known to be current. */
  viewAgeMs(): number {
    return this.services.environment.clock.now() - this.replica.freshAt;
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
    return this.userEntry.serve({ ask, about, text });
  }

  /** Serves a worker's report. */
  report(text: string | null): Promise<HttpReply> {
    return this.workerEntry.report(text);
  }

  /** Handles a peer's message; `answer` sends one back to it. */
  receive(message: PeerMessage, answer: (message: PeerMessage) => void): void {
    this.peerEntry.receive(message, answer);
  }

  private createLoops(): NodeLoops {
    const { activeRoles } = this;
    const { environment, log } = this.services;
    const loop = (options: Omit<RoundLoopOptions, 'clock' | 'log'>): RoundLoop =>
      new RoundLoop({ ...options, clock: environment.clock, log });
    return {
      roles: loop({ name: 'roles', round: () => this.runRoles(), idleMs: () => ROLES_MS }),
      parts: loop({ name: 'parts', round: () => this.runParts() }),
      leader: loop({
        name: 'leader',
        round: () => activeRoles.runLeader(),
        costMs: () => Math.max(LEADER_GATHER_MS / LOOP_REST, this.leader?.costMs ?? 0),
        idleMs: () => (this.leader ? LOOP_MS : LOOP_IDLE_MS),
      }),
      fleet: loop({
        name: 'fleet',
        round: () => activeRoles.runFleet(),
        idleMs: () => (this.leader ? FLEET_MS : LOOP_IDLE_MS),
      }),
    };
  }

  /** One round of the roles, and new terms for those that run out of numbers. */
  private async runRoles(): Promise<void> {
    const { roles } = this.services;
    await roles.round();
    for (const role of this.activeRoles.rolesInNeedOfTerms()) await roles.renewTerm(role);
  }

  /** One round of each part, one after the other, and what is due periodically beside them. */
  private async runParts(): Promise<void> {
    this.requestLog.writeIfDue();
    this.detection?.writeIfDue();
    for (const part of [...this.parts.values()]) await part.round();
    this.workerEntry.forgetOldRedirects();
    this.relay.probeSilent();
  }

  /** Passes changed keys of the replica on and wakes the loops that they concern. */
  private storeChanged(keys: string[]): void {
    let partsAffected = false;
    let rolesAffected = false;
    let leaderAffected = false;
    for (const key of keys) {
      if (this.activeRoles.keyChanged(key).affectsParts) partsAffected = true;
      if (key.startsWith(ROLES) || key.startsWith(NODES)) rolesAffected = true;
      else if (!key.startsWith(ARMS)) leaderAffected = true;
    }
    this.activeRoles.sync();
    if (rolesAffected) this.loops.roles.wake();
    if (partsAffected || rolesAffected) this.loops.parts.wake();
    if (leaderAffected && this.leader) this.loops.leader.wake();
  }
}
