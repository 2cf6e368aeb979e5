/** What the steps of an autoscaler pass share: settings, services and the budget of requests. */

import { CLOUD_REQUEST_SHARE } from '../../constants/autoscaling.js';
import { readCatalog } from '../../storage/catalog.js';
import type { RejectedChangeBackoff } from '../../storage/rejected-change-backoff.js';
import type { Log } from '../../storage/log.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import type { CloudApi } from '../../protocol/cloud-api.js';
import type { MachineType } from '../../protocol/model.js';
import { Budget } from '../../transport/budget.js';
import type { Clock } from '../../transport/clock.js';
import type { GuardedWriter } from '../election/guarded-writer.js';
import type { Member } from '../election/rendezvous-hashing.js';
import type { Headroom } from './headroom.js';

/** Settings of the autoscaler, and the services that it uses. */
export interface AutoscalerOptions {
  /** The leader's fencing token; part of the identifier of each rent request. */
  readonly term: number;
  /** Commits transactions on the condition that this controller still leads. */
  readonly writer: GuardedWriter;
  /** Operations that one transaction may have. */
  readonly transactionOps: number;
  /** Bytes that one stored value may have. */
  readonly valueBytes: number;
  /** The cloud's limit of requests per second. */
  readonly cloudRps: number;
  /** Seconds by which the cloud's list of machines may be out of date. */
  readonly listLagS: number;
  /** Seconds that a worker's tasks outlive its last acknowledged heartbeat. */
  readonly leaseS: number;
  /** ms after which the machine type with the highest price per CPU is drained when idle. */
  readonly idleMs: number;
  /** Free CPUs on ordinary machines that are kept for urgent work while jobs are open. */
  readonly headroomCpus: number;
  /** Whether spot machines may be rented. */
  readonly spot: boolean;
  /** Upper bound of the number of machines. */
  readonly maxMachines: number;
  /** The controllers; machines send their heartbeats to those of their zone. */
  readonly members: readonly Member[];
  readonly replica: StoreReplica;
  readonly cloud: CloudApi;
  readonly clock: Clock;
  readonly log: Log;
  /** Uniform in [0, 1); spreads the retries. */
  readonly random: () => number;
}

/** The options together with the state that several steps of a pass use. */
export interface AutoscalingContext extends AutoscalerOptions {
  readonly cloudRequests: CloudRequestBudget;
  /** Machines, and keys, whose changes the key-value store rejected as invalid. */
  readonly rejectedChangeBackoff: RejectedChangeBackoff;
  readonly headroom: Headroom;
}

/** The autoscaler's share of the cloud's limit of requests. */
export class CloudRequestBudget {
  private readonly budget: Budget;

  constructor(clock: Clock, cloudRps: number) {
    const rate = cloudRps * CLOUD_REQUEST_SHARE;
    this.budget = new Budget(clock, rate, Math.max(1, rate));
  }

  /** Takes one request from the budget; false: none is left now. */
  trySpend(): boolean {
    if (this.budget.waitFor(1) > 0) return false;
    this.budget.spend(1);
    return true;
  }
}

/** The machine types of the stored catalog; empty while there is none. */
export function machineTypes(replica: StoreReplica): MachineType[] {
  return readCatalog(replica) ?? [];
}
