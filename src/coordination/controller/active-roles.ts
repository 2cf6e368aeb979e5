/** Creates and removes the parts, the leader and the fleet as this node gains and loses roles. */
import { roleKey } from '../../storage/keys.js';
import type { Supply } from '../../storage/rate-limiter.js';
import { Fleet } from '../autoscaling/autoscaler.js';
import { GuardedWriter } from '../election/guarded-writer.js';
import { Leader } from '../leader/leader.js';
import { Part, type PartOptions } from '../shard/shard.js';
import { LEADER, partRole, type Owned } from '../election/role-election.js';
import type { NodeServices } from './controller-services.js';

/** What is called when there is work to do. */
export interface ActiveRolesCallbacks {
  /** A part has something to do. */
  readonly onPartWork: () => void;
  /** This node has become the leader. */
  readonly onLeading: () => void;
}

/** The parts, and the leader with its fleet, that act while this node owns their roles. */
export class ActiveRoles {
  readonly parts = new Map<string, Part>();
  /** The terms in which the parts act. */
  private readonly partTerms = new Map<string, number>();
  private activeLeader: Leader | null = null;
  private leaderTerm = 0;
  private fleet: Fleet | null = null;

  constructor(
    private readonly services: NodeServices,
    private readonly callbacks: ActiveRolesCallbacks,
  ) {}

  /** The leader; null: another node leads, or none. */
  get leader(): Leader | null {
    return this.activeLeader;
  }

  /** Passes a changed key of the replica on; `affectsParts`: a part may have something to do. */
  keyChanged(key: string): { affectsParts: boolean } {
    let affectsParts = false;
    for (const part of this.parts.values()) {
      if (part.changed(key)) affectsParts = true;
    }
    this.activeLeader?.changed(key);
    return { affectsParts };
  }

  /** Creates and removes what acts in roles, so that it matches the roles that this node owns. */
  sync(): void {
    for (const [number, member] of this.services.members.entries()) {
      this.syncPart(member.node, number);
    }
    this.syncLeader();
  }

  /** The roles whose terms have handed out half of their numbers. */
  rolesInNeedOfTerms(): string[] {
    const parts = [...this.parts].filter(([, part]) => part.needsNewTerm);
    const roles = parts.map(([name]) => partRole(name));
    if (this.activeLeader?.needsNewTerm) roles.push(LEADER);
    return roles;
  }

  /** One round of the leader; notifies the parts for which something urgent was written. */
  async runLeader(): Promise<void> {
    const written = await this.activeLeader?.round();
    for (const part of written ?? []) this.services.ownerNotifier.notify(partRole(part));
  }

  /** One round of the fleet. */
  async runFleet(): Promise<void> {
    if (this.activeLeader && this.fleet) await this.fleet.round(this.activeLeader.snapshot);
  }

  private syncPart(name: string, number: number): void {
    const { log, roles } = this.services;
    const owned = roles.owned(partRole(name));
    if (!owned) {
      if (this.parts.delete(name)) log.info({ part: name }, 'part given up');
      return;
    }
    if (this.parts.has(name) && this.partTerms.get(name) === owned.term) return;
    this.parts.set(name, this.createPart(name, number, owned));
    this.partTerms.set(name, owned.term);
    log.info({ part: name, term: owned.term }, 'part taken');
  }

  private createPart(name: string, number: number, owned: Owned): Part {
    const { committer, environment, log, replica } = this.services;
    return new Part(this.partOptions(name, number, owned), {
      replica,
      committer,
      workers: environment.workers,
      clock: environment.clock,
      log,
      wake: this.callbacks.onPartWork,
    });
  }

  private partOptions(name: string, number: number, owned: Owned): PartOptions {
    const { limiter, ownerNotifier, roles, settings } = this.services;
    const { placement } = settings;
    const role = partRole(name);
    return {
      part: name,
      number,
      term: owned.term,
      roleKey: roleKey(role),
      roleRevision: owned.revision,
      fenceAt: roles.fence(owned),
      leaseS: settings.leaseS,
      reportS: settings.reportS,
      gangWaitS: settings.gangWaitS,
      gangPeerS: settings.gangPeerS,
      txnOps: settings.txnOps,
      valueBytes: settings.valueBytes,
      alpha: placement.alpha,
      penalty: placement.penalty,
      startWithinS: settings.startWithinS,
      snapshotMs: placement.snapshotS * 1000,
      alive: () => roles.owned(role)?.term === owned.term,
      current: () => roles.current,
      limiter,
      written: () => ownerNotifier.notify(LEADER),
    };
  }

  private syncLeader(): void {
    const { log, roles } = this.services;
    const owned = roles.owned(LEADER);
    if (!owned) {
      if (this.activeLeader) log.info({}, 'leadership given up');
      this.activeLeader = null;
      this.fleet = null;
      return;
    }
    const { term } = owned;
    if (this.activeLeader && this.leaderTerm === term) return;
    this.leaderTerm = term;
    const writer = this.createLeaderWriter(term);
    this.activeLeader = this.createLeader(term, writer);
    this.fleet = this.createFleet(term, writer);
    log.info({ term }, 'leading');
    this.callbacks.onLeading();
  }

  private createLeaderWriter(term: number): GuardedWriter {
    const { committer, replica, roles } = this.services;
    const isOwner = (): boolean => roles.owned(LEADER)?.term === term;
    return new GuardedWriter(roleKey(LEADER), replica, committer, isOwner);
  }

  private createLeader(term: number, writer: GuardedWriter): Leader {
    const { detection, environment, limiter, log, members, replica, settings } = this.services;
    const { startWithinS, teams, txnOps, valueBytes } = settings;
    const supply = (): Supply => limiter.supply;
    const acceptsNewWork = (part: string): boolean => detection?.acceptsNewWork(part) ?? true;
    const limits = { txnOps, valueBytes, teams, startWithinS, supply, acceptsNewWork };
    return new Leader({ term, writer, members, ...limits }, replica, environment.clock, log);
  }

  private createFleet(term: number, writer: GuardedWriter): Fleet {
    const { environment, log, members, random, replica, settings } = this.services;
    const { fleet } = settings;
    return new Fleet({
      term,
      writer,
      txnOps: settings.txnOps,
      valueBytes: settings.valueBytes,
      cloudRps: settings.cloudRps,
      listLagS: settings.listLagS,
      leaseS: settings.leaseS,
      idleMs: fleet.idleS * 1000,
      headroomCpus: fleet.headroomCpus,
      spot: fleet.spot,
      maxMachines: fleet.maxMachines,
      members,
      replica,
      cloud: environment.cloud,
      clock: environment.clock,
      log,
      random,
    });
  }
}
