/** Serves workers' reports: here, or by sending the worker or its report to the part's owner. */
import { REDIRECT_RETRY_MS } from '../../constants.js';
import type { WorkerReport } from '../../protocol/model.js';
import { parseJson, type Parsed } from '../../protocol/user-codec.js';
import { encodeRedirect, encodeReportAnswer, parseReport } from '../../protocol/worker-codec.js';
import type { Clock } from '../../transport/clock.js';
import type { HttpReply } from '../../transport/http-server.js';
import { partOf, type Member } from '../election/rendezvous-hashing.js';
import { partRole, type Roles } from '../election/role-election.js';
import type { ActiveRoles } from './active-roles.js';
import type { PeerRelay } from './peer-relay.js';
import { unavailable } from './unavailable-reply.js';

/** What the entry works with. */
export interface WorkerEntryOptions {
  /** Name of this node. */
  readonly node: string;
  readonly clock: Clock;
  readonly members: readonly Member[];
  readonly roles: Roles;
  readonly activeRoles: ActiveRoles;
  readonly relay: PeerRelay;
}

/** The entry point of workers' reports. */
export class WorkerEntry {
  /** Machines that were redirected lately, and when. */
  private readonly redirectedAt = new Map<string, number>();

  constructor(private readonly options: WorkerEntryOptions) {}

  /** Answers a report, redirects the worker to the owner of its part, or relays the report there. */
  async report(text: string | null): Promise<HttpReply> {
    const parsed = readReport(text);
    if (!parsed.ok) return { status: 400, body: { error: parsed.error } };
    const { machine, zone } = parsed.value;
    const { clock, members, node, relay, roles } = this.options;
    const part = partOf(machine, zone, members);
    const reply = this.replyAsOwner(part, parsed.value);
    if (reply) return reply;
    const owner = roles.ownerOf(partRole(part));
    if (owner === null || owner === node) return unavailable('no owner acts');
    const now = clock.now();
    const before = this.redirectedAt.get(machine);
    this.redirectedAt.set(machine, now);
    if (before === undefined || now - before > REDIRECT_RETRY_MS) {
      return { status: 421, body: encodeRedirect(owner) };
    }
    // Back so soon after a redirect: it can't reach the owner, but perhaps this node can.
    const relayed = await relay.request(owner, { ask: 'report', about: '', text: text ?? '' });
    return relayed ?? unavailable('no owner acts');
  }

  /** Answers a report that a peer relayed; null: it is invalid, or not for this node. */
  replyToRelayed(text: string): HttpReply | null {
    const parsed = readReport(text);
    if (!parsed.ok) return null;
    const { machine, zone } = parsed.value;
    return this.replyAsOwner(partOf(machine, zone, this.options.members), parsed.value);
  }

  /** Forgets redirects that are too old to matter. */
  forgetOldRedirects(): void {
    const now = this.options.clock.now();
    for (const [machine, at] of this.redirectedAt) {
      if (now - at > REDIRECT_RETRY_MS) this.redirectedAt.delete(machine);
    }
  }

  /** Null: this node may not answer for the part. */
  private replyAsOwner(part: string, report: WorkerReport): HttpReply | null {
    const { activeRoles, roles } = this.options;
    const owned = roles.owned(partRole(part));
    const activePart = activeRoles.parts.get(part);
    if (!owned || !activePart || !roles.current) return null;
    const answer = activePart.handleReport(report);
    if (!answer.ok) return unavailable('not for this node');
    return { status: 200, body: encodeReportAnswer(answer.token, answer.commands) };
  }
}

function readReport(text: string | null): Parsed<WorkerReport> {
  const json = parseJson(text);
  return json.ok ? parseReport(json.value) : json;
}
