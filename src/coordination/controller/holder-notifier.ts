/**
 * Sends the holders of roles a message when this controller has changed records in the key-value
 * store that concern their roles.
 */
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
 * Sends change notifications to the holders of roles. A receiver sends its next watch request
 * early, and so reads the changed records sooner. If a notification is lost, the holder reads them
 * a little later, with its next regular watch.
 */
export class HolderNotifier {
  constructor(private readonly options: HolderNotifierOptions) {}

  /**
   * Sends the holder of a role the newest revision of the key-value store that this controller has
   * received, so that the holder reads the changes up to this revision with an early watch. Sends
   * nothing if this controller holds the role itself, or if there is no holder. `cancelled`: a job
   * whose cancellation this controller has committed; the holder applies it to its replica at once.
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
   * Notifies the leader and the holders of the shards to which the jobs are assigned, after a
   * commit that created or cancelled the jobs. `cancellation`: `jobs` holds a single job, which was
   * cancelled and has this many tasks.
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
