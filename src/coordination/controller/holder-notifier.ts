/** Notifies the owners of roles that the state service holds something new for them. */
import type { StoreReplica } from '../../storage/store-replica.js';
import type { CancelledJob, PeerMessage } from '../../protocol/peer-messages.js';
import { LEADER, partRole, type Roles } from '../election/role-election.js';
import type { Environment } from '../../protocol/environment.js';

/** What a notifier works with. */
export interface OwnerNotifierOptions {
  /** Name of this node. */
  readonly node: string;
  readonly environment: Environment;
  readonly roles: Roles;
  readonly replica: StoreReplica;
}

/** Sends notifications to peers; a lost one only delays its receiver's next read. */
export class OwnerNotifier {
  constructor(private readonly options: OwnerNotifierOptions) {}

  /** Notifies the owner of a role, unless it is this node or there is none. */
  notify(role: string, cancelled?: CancelledJob): void {
    const { environment, node, replica, roles } = this.options;
    const owner = roles.ownerOf(role);
    if (owner === null || owner === node) return;
    const poke: PeerMessage = { kind: 'poke', node, revision: replica.newest };
    environment.sendToPeer(owner, cancelled ? { ...poke, cancelled } : poke);
  }

  /**
   * Notifies the leader, and the owners of the parts that hold the jobs. `over`: the only job was
   * cancelled; it has so many tasks.
   */
  notifyOfJobs(jobs: readonly string[], over?: { tasks: number }): void {
    const parts = new Set<string>();
    for (const job of jobs) {
      for (const chunk of this.options.replica.chunksOf(job)) parts.add(chunk.part);
    }
    const [job = ''] = jobs;
    const cancelled = over && { job, tasks: over.tasks };
    this.notify(LEADER, cancelled);
    for (const part of parts) this.notify(partRole(part), cancelled);
  }
}
