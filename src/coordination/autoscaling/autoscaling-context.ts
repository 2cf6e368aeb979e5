/** Settings, services and state that the steps of an autoscaler pass share. */

import { CLOUD_REQUEST_FRACTION } from '../../constants/autoscaling.js';
import { readCatalog } from '../../storage/catalog.js';
import type { RejectedChangeBackoff } from '../../storage/rejected-change-backoff.js';
import type { Log } from '../../storage/log.js';
import type { StoreReplica } from '../../storage/store-replica.js';
import type { CloudApi } from '../../protocol/cloud-api.js';
import type { MachineType } from '../../protocol/model.js';
import { TokenBucket } from '../../transport/token-bucket.js';
import type { Clock } from '../../transport/clock.js';
import type { GuardedWriter } from '../election/guarded-writer.js';
import type { Member } from '../election/rendezvous-hashing.js';
import type { Headroom } from './headroom.js';

/** Settings of the autoscaler, and the services that it uses. */
export interface AutoscalerOptions {
  /** Term in which this controller is the leader; part of the identifier of each rent request. */
  readonly term: number;
  /** Commits transactions on the condition that this controller is still the leader. */
  readonly writer: GuardedWriter;
  /** Maximum number of operations in one transaction. */
  readonly transactionOps: number;
  /** Maximum size of a stored value in bytes. */
  readonly valueBytes: number;
  /** The cloud's limit of requests per second. */
  readonly cloudRps: number;
  /** Maximum seconds by which the cloud's list of machines is out of date. */
  readonly listLagS: number;
  /** Seconds for which a worker's tasks may run after its last answered heartbeat. */
  readonly leaseS: number;
  /** ms after which an idle machine of the type with the highest price per CPU is drained. */
  readonly idleMs: number;
  /** Free CPUs of on-demand machines that are kept for urgent work while jobs are open. */
  readonly headroomCpus: number;
  /** Whether spot instances may be rented. */
  readonly isSpotAllowed: boolean;
  /** Maximum number of machines in the fleet. */
  readonly maxMachines: number;
  /** The controllers. Machines send their heartbeats to those of their own zone. */
  readonly members: readonly Member[];
  readonly replica: StoreReplica;
  readonly cloud: CloudApi;
  readonly clock: Clock;
  readonly log: Log;
  /** Returns random numbers, uniform in [0, 1), which spread retries over time. */
  readonly random: () => number;
}

/** The options, and the state that several steps of a pass use. */
export interface AutoscalingContext extends AutoscalerOptions {
  readonly cloudRequests: CloudRequestBudget;
  /** Pauses, by machine name or store key, of changes that the store rejected as invalid. */
  readonly rejectedChangeBackoff: RejectedChangeBackoff;
  readonly headroom: Headroom;
}

/**
 * The cloud requests that the autoscaler may send: a token bucket that is filled at
 * `CLOUD_REQUEST_FRACTION` of the cloud's limit.
 */
export class CloudRequestBudget {
  private readonly budget: TokenBucket;

  constructor(clock: Clock, cloudRps: number) {
    const rate = cloudRps * CLOUD_REQUEST_FRACTION;
    this.budget = new TokenBucket(clock, rate, Math.max(1, rate));
  }

  /** Takes one request from the budget; returns false if none is available now. */
  trySpend(): boolean {
    if (this.budget.waitFor(1) > 0) return false;
    this.budget.spend(1);
    return true;
  }
}

/** The machine types of the stored catalog; empty while no catalog is stored. */
export function machineTypes(replica: StoreReplica): MachineType[] {
  return readCatalog(replica) ?? [];
}
