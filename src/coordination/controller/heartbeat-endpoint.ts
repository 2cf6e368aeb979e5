/** Serves workers' reports: here, or by sending the worker or its report to the part's owner. */
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
import { unavailable } from './unavailable-reply.js';

/** What the entry works with. */
export interface HeartbeatEndpointOptions {
  /** Name of this node. */
  readonly node: string;
  readonly clock: Clock;
  readonly members: readonly Member[];
  readonly roles: RoleElection;
  readonly activeRoles: ActiveRoles;
  readonly relay: PeerRelay;
}

/** The entry point of workers' reports. */
export class HeartbeatEndpoint {
  /** Machines that were redirected lately, and when. */
  private readonly redirectedAt = new Map<string, number>();

  constructor(private readonly options: HeartbeatEndpointOptions) {}

  /** Answers a report, redirects the worker to the owner of its part, or relays the report there. */
  async heartbeat(text: string | null): Promise<HttpReply> {
    const parsed = readHeartbeat(text);
    if (!parsed.ok) return { status: 400, body: { error: parsed.error } };
    const { machine, zone } = parsed.value;
    const { clock, members, node, relay, roles } = this.options;
    const shard = shardOf(machine, zone, members);
    const reply = this.replyAsHolder(shard, parsed.value);
    if (reply) return reply;
    const owner = roles.holderOf(shardRole(shard));
    if (owner === null || owner === node) return unavailable('no owner acts');
    const now = clock.now();
    const before = this.redirectedAt.get(machine);
    this.redirectedAt.set(machine, now);
    if (before === undefined || now - before > REDIRECT_RETRY_MS) {
      return { status: 421, body: encodeRedirect(owner) };
    }
    // Back so soon after a redirect: it can't reach the owner, but perhaps this node can.
    const relayed = await relay.request(owner, { ask: 'heartbeat', about: '', text: text ?? '' });
    return relayed ?? unavailable('no owner acts');
  }

  /** Answers a report that a peer relayed; null: it is invalid, or not for this node. */
  replyToRelayed(text: string): HttpReply | null {
    const parsed = readHeartbeat(text);
    if (!parsed.ok) return null;
    const { machine, zone } = parsed.value;
    return this.replyAsHolder(shardOf(machine, zone, this.options.members), parsed.value);
  }

  /** Forgets redirects that are too old to matter. */
  forgetOldRedirects(): void {
    const now = this.options.clock.now();
    for (const [machine, at] of this.redirectedAt) {
      if (now - at > REDIRECT_RETRY_MS) this.redirectedAt.delete(machine);
    }
  }

  /** Null: this node may not answer for the part. */
  private replyAsHolder(shard: string, heartbeat: Heartbeat): HttpReply | null {
    const { activeRoles, roles } = this.options;
    const owned = roles.heldRole(shardRole(shard));
    const activeShard = activeRoles.shards.get(shard);
    if (!owned || !activeShard || !roles.isReplicaCurrent) return null;
    const answer = activeShard.handleHeartbeat(heartbeat);
    if (!answer.ok) return unavailable('not for this node');
    return { status: 200, body: encodeHeartbeatAnswer(answer.fencingToken, answer.commands) };
  }
}

function readHeartbeat(text: string | null): Parsed<Heartbeat> {
  const json = parseJson(text);
  return json.ok ? parseHeartbeat(json.value) : json;
}
