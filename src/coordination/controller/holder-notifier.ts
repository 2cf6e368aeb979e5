/** Notifies the holders of roles of changes in the key-value store that concern them. */
import type { StoreReplica } from '../../storage/store-replica.js';
import type { CancelledJob, PeerMessage } from '../../protocol/peer-messages.js';
import { LEADER, shardRole, type RoleElection } from '../election/role-election.js';
import type { Environment } from '../../protocol/environment.js';

/** Dependencies of the notifier. */
export interface HolderNotifierOptions {
  /** Name of this controller. */
  readonly controllerName: string;
  readonly environment: Environment;
  readonly election: RoleElection;
  readonly replica: StoreReplica;
}

/**
 * Sends change notifications to peers. If one is lost, its receiver reads the change a little
 * later, with its next regular watch.
 */
export class HolderNotifier {
  constructor(private readonly options: HolderNotifierOptions) {}

  /**
   * Notifies the holder of a role, unless this controller holds it or there is no holder.
   * `cancelled`: the job that the change cancelled.
   */
  notify(role: string, cancelled?: CancelledJob): void {
    const { environment, controllerName, replica, election } = this.options;
    const holder = election.holderOf(role);
    if (holder === null || holder === controllerName) return;
    const notification: PeerMessage = {
      kind: 'storeChanged',
      node: controllerName,
      revision: replica.newestRevision,
    };
    environment.sendToPeer(holder, cancelled ? { ...notification, cancelled } : notification);
  }

  /**
   * Notifies the leader and the holders of the shards to which the jobs are assigned.
   * `cancellation`: `jobs` holds a single job, which was cancelled and has this many tasks.
   */
  notifyOfJobs(jobs: readonly string[], cancellation?: { tasks: number }): void {
    const shards = new Set<string>();
    for (const job of jobs) {
      for (const assignment of this.options.replica.assignmentsOf(job))
        shards.add(assignment.shard);
    }
    const [job = ''] = jobs;
    const cancelled = cancellation && { job, tasks: cancellation.tasks };
    this.notify(LEADER, cancelled);
    for (const shard of shards) this.notify(shardRole(shard), cancelled);
  }
}
