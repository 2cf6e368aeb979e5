/** Creates and removes shards, leader and autoscaler as this controller gains and loses roles. */
import { roleKey } from '../../storage/keys.js';
import { PassSteps } from '../../storage/pass-steps.js';
import type { Supply } from '../../storage/rate-limiter.js';
import { Autoscaler } from '../autoscaling/autoscaler.js';
import { GuardedWriter } from '../election/guarded-writer.js';
import { Leader } from '../leader/leader.js';
import { Shard, type ShardOptions } from '../shard/shard.js';
import { LEADER, shardRole, type HeldRole } from '../election/role-election.js';
import type { ControllerServices } from './controller-services.js';

/** Callbacks that start work for the roles. */
export interface ActiveRolesCallbacks {
  /** Called when a shard has work to do. */
  readonly onShardWork: () => void;
  /** Called when this controller becomes the leader. */
  readonly onLeadershipGained: () => void;
}

/** The shards, leader and autoscaler that run while this controller holds their roles. */
export class ActiveRoles {
  readonly shards = new Map<string, Shard>();
  /** Term under which each shard was created, by its name. */
  private readonly shardTerms = new Map<string, number>();
  private activeLeader: Leader | null = null;
  private leaderTerm = 0;
  private autoscaler: Autoscaler | null = null;
  private readonly steps: PassSteps;

  constructor(
    private readonly services: ControllerServices,
    private readonly callbacks: ActiveRolesCallbacks,
  ) {
    this.steps = new PassSteps(services.log, { node: services.settings.node });
  }

  /** The leader; null: this controller does not hold the leader's role. */
  get leader(): Leader | null {
    return this.activeLeader;
  }

  /**
   * Passes a changed key of the replica to the shards and the leader. `affectsShards`: a shard may
   * have work to do.
   */
  handleKeyChange(key: string): { affectsShards: boolean } {
    let affectsShards = false;
    for (const [name, shard] of this.shards) {
      this.steps.run(`handle change of ${key} in shard ${name}`, () => {
        if (shard.handleChange(key)) affectsShards = true;
      });
    }
    this.steps.run(`handle change of ${key} as leader`, () => this.activeLeader?.onKeyChanged(key));
    return { affectsShards };
  }

  /** Creates and removes shards, leader and autoscaler to match the roles that are held now. */
  sync(): void {
    for (const [number, { node }] of this.services.members.entries()) {
      this.steps.run(`sync shard ${node}`, () => this.syncShard(node, number));
    }
    this.steps.run('sync leader', () => this.syncLeader());
  }

  /** Returns the roles that have used half of their term's attempt numbers or fencing tokens. */
  rolesNeedingTermRenewal(): string[] {
    const shards = [...this.shards].filter(([, shard]) => shard.needsTermRenewal);
    const roles = shards.map(([name]) => shardRole(name));
    if (this.activeLeader?.needsTermRenewal) roles.push(LEADER);
    return roles;
  }

  /**
   * Runs one scheduling cycle and notifies the holders of shards that got urgent work; does nothing
   * unless this controller is the leader.
   */
  async reconcileLeader(): Promise<void> {
    const written = await this.activeLeader?.reconcile();
    for (const shard of written ?? []) this.services.holderNotifier.notify(shardRole(shard));
  }

  /** Runs one pass of the autoscaler; does nothing unless this controller is the leader. */
  async reconcileAutoscaler(): Promise<void> {
    if (this.activeLeader && this.autoscaler)
      await this.autoscaler.reconcile(this.activeLeader.snapshot);
  }

  private syncShard(name: string, number: number): void {
    const { log, election } = this.services;
    const heldRole = election.heldRole(shardRole(name));
    if (!heldRole) {
      if (this.shards.delete(name)) log.info({ shard: name }, 'shard released');
      return;
    }
    if (this.shards.has(name) && this.shardTerms.get(name) === heldRole.term) return;
    // If the new shard cannot be created, that of the former term must not answer in its place.
    this.shards.delete(name);
    this.shards.set(name, this.createShard(name, number, heldRole));
    this.shardTerms.set(name, heldRole.term);
    log.info({ shard: name, term: heldRole.term }, 'shard acquired');
  }

  private createShard(name: string, number: number, heldRole: HeldRole): Shard {
    const { committer, environment, log, replica } = this.services;
    return new Shard(this.shardOptions(name, number, heldRole), {
      replica,
      committer,
      workers: environment.workers,
      clock: environment.clock,
      log,
      wake: this.callbacks.onShardWork,
    });
  }

  private shardOptions(name: string, number: number, heldRole: HeldRole): ShardOptions {
    const { limiter, holderNotifier, election, settings } = this.services;
    const { placement } = settings;
    const role = shardRole(name);
    return {
      shard: name,
      number,
      term: heldRole.term,
      roleKey: roleKey(role),
      roleRevision: heldRole.revision,
      fenceAt: election.fenceEndsAt(heldRole),
      leaseS: settings.leaseS,
      heartbeatIntervalS: settings.heartbeatIntervalS,
      gangWaitS: settings.gangWaitS,
      gangPeerS: settings.gangPeerS,
      transactionOps: settings.transactionOps,
      valueBytes: settings.valueBytes,
      alpha: placement.alpha,
      penalty: placement.penalty,
      startWithinS: settings.startWithinS,
      snapshotMs: placement.snapshotS * 1000,
      isHolder: () => election.heldRole(role)?.term === heldRole.term,
      isReplicaCurrent: () => election.isReplicaCurrent,
      limiter,
      onUrgentWrite: () => holderNotifier.notify(LEADER),
    };
  }

  private syncLeader(): void {
    const { log, election } = this.services;
    const heldRole = election.heldRole(LEADER);
    if (!heldRole) {
      if (this.activeLeader) log.info({ term: this.leaderTerm }, 'leadership lost');
      this.activeLeader = null;
      this.autoscaler = null;
      return;
    }
    const { term } = heldRole;
    if (this.activeLeader && this.leaderTerm === term) return;
    this.leaderTerm = term;
    const writer = this.createLeaderWriter(term);
    this.activeLeader = this.createLeader(term, writer);
    this.autoscaler = this.createAutoscaler(term, writer);
    log.info({ term }, 'leadership acquired');
    this.callbacks.onLeadershipGained();
  }

  private createLeaderWriter(term: number): GuardedWriter {
    const { committer, replica, election } = this.services;
    const isOwner = (): boolean => election.heldRole(LEADER)?.term === term;
    return new GuardedWriter(roleKey(LEADER), replica, committer, isOwner);
  }

  private createLeader(term: number, writer: GuardedWriter): Leader {
    const { detection, environment, limiter, log, members, replica, settings } = this.services;
    const { startWithinS, teams, transactionOps, valueBytes } = settings;
    const supply = (): Supply => limiter.supply;
    const acceptsNewWork = (shard: string): boolean => detection?.acceptsNewWork(shard) ?? true;
    const limits = {
      transactionOps,
      valueBytes,
      teams,
      startWithinS,
      supply,
      acceptsNewWork,
    };
    return new Leader({ term, writer, members, ...limits }, replica, environment.clock, log);
  }

  private createAutoscaler(term: number, writer: GuardedWriter): Autoscaler {
    const { environment, log, members, random, replica, settings } = this.services;
    const { fleet } = settings;
    return new Autoscaler({
      term,
      writer,
      transactionOps: settings.transactionOps,
      valueBytes: settings.valueBytes,
      cloudRps: settings.cloudRps,
      listLagS: settings.listLagS,
      leaseS: settings.leaseS,
      idleMs: fleet.idleS * 1000,
      headroomCpus: fleet.headroomCpus,
      isSpotAllowed: fleet.spot,
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
