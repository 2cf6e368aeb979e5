/** Answers workers' heartbeats, or redirects or relays them to the holder of the worker's shard. */
import { REDIRECT_RETRY_MS } from '../../constants/controller.js';
import type { Heartbeat } from '../../protocol/model.js';
import { parseJson, type Parsed } from '../../protocol/validation.js';
import {
  encodeRedirect,
  encodeHeartbeatAnswer,
  parseHeartbeat,
} from '../../protocol/worker-codec.js';
import type { Clock } from '../../transport/clock.js';
import type { HttpReply } from '../../transport/http-server.js';
import { shardOf, type Member } from '../election/rendezvous-hashing.js';
import { shardRole, type RoleElection } from '../election/role-election.js';
import type { ActiveRoles } from './active-roles.js';
import type { PeerRelay } from './peer-relay.js';
import { unavailable } from '../api/http-replies.js';

/** Dependencies of the endpoint. */
export interface HeartbeatEndpointOptions {
  /** Name of this controller. */
  readonly controllerName: string;
  readonly clock: Clock;
  readonly members: readonly Member[];
  readonly election: RoleElection;
  readonly activeRoles: ActiveRoles;
  readonly peerRelay: PeerRelay;
}

/** The endpoint of workers' heartbeats. */
export class HeartbeatEndpoint {
  /** Steady time in ms at which each machine's last heartbeat was redirected or relayed. */
  private readonly lastForwardedAt = new Map<string, number>();

  constructor(private readonly options: HeartbeatEndpointOptions) {}

  /**
   * Answers a heartbeat if this controller holds the machine's shard. Otherwise redirects the
   * worker to the holder, or relays the heartbeat if the worker's last one was redirected or
   * relayed within `REDIRECT_RETRY_MS`. `text`: the body; null: it was longer than the limit.
   */
  async handle(text: string | null): Promise<HttpReply> {
    const parsed = readHeartbeat(text);
    if (!parsed.ok) return { status: 400, body: { error: parsed.error } };
    const { machine, zone } = parsed.value;
    const { clock, members, controllerName, peerRelay, election } = this.options;
    const shard = shardOf(machine, zone, members);
    const reply = this.replyAsHolder(shard, parsed.value);
    if (reply) return reply;
    const holder = election.holderOf(shardRole(shard));
    if (holder === null || holder === controllerName) return unavailable('no owner acts');
    const now = clock.now();
    const previousForwardedAt = this.lastForwardedAt.get(machine);
    this.lastForwardedAt.set(machine, now);
    if (previousForwardedAt === undefined || now - previousForwardedAt > REDIRECT_RETRY_MS) {
      return { status: 421, body: encodeRedirect(holder) };
    }
    // The worker sent a heartbeat here again soon after a redirect, so it probably can't reach the
    // holder, but this controller may reach it.
    const relayed = await peerRelay.request(holder, {
      operation: 'heartbeat',
      jobId: '',
      body: text ?? '',
    });
    return relayed ?? unavailable('no owner acts');
  }

  /**
   * Answers a relayed heartbeat; null: it is invalid, or this controller does not hold the
   * machine's shard, or its replica is not current.
   */
  handleRelayed(text: string): HttpReply | null {
    const parsed = readHeartbeat(text);
    if (!parsed.ok) return null;
    const { machine, zone } = parsed.value;
    return this.replyAsHolder(shardOf(machine, zone, this.options.members), parsed.value);
  }

  /**
   * Removes the times of heartbeats that were redirected or relayed more than `REDIRECT_RETRY_MS`
   * ago, because only a later time causes a relay.
   */
  removeExpiredForwardTimes(): void {
    const now = this.options.clock.now();
    for (const [machine, at] of this.lastForwardedAt) {
      if (now - at > REDIRECT_RETRY_MS) this.lastForwardedAt.delete(machine);
    }
  }

  /**
   * Answers a heartbeat as the holder of its shard; null: this controller does not hold the shard,
   * or its replica is not current.
   */
  private replyAsHolder(shard: string, heartbeat: Heartbeat): HttpReply | null {
    const { activeRoles, election } = this.options;
    const heldRole = election.heldRole(shardRole(shard));
    const activeShard = activeRoles.shards.get(shard);
    if (!heldRole || !activeShard || !election.isReplicaCurrent) return null;
    const answer = activeShard.handleHeartbeat(heartbeat);
    if (!answer.ok) return unavailable('not for this node');
    return { status: 200, body: encodeHeartbeatAnswer(answer.fencingToken, answer.commands) };
  }
}

function readHeartbeat(text: string | null): Parsed<Heartbeat> {
  const json = parseJson(text);
  return json.ok ? parseHeartbeat(json.value) : json;
}
