/** The metrics of a controller; this module and its library are loaded on the first request. */

import { Gauge, Registry } from 'prom-client';
import type { DetectionService } from '../failure-detection/detection-service.js';

/** Source of the metrics' values, implemented by `ControllerCore`. */
export interface MetricsSource {
  /** The shards that this controller holds. */
  readonly heldShards: ReadonlyMap<string, { counts(): ShardCounts }>;
  /** Null: this controller is not the leader. */
  readonly leader: object | null;
  readonly replica: { readonly assignmentCount: number };
  /** Null: failure detection is disabled. */
  readonly detection: DetectionService | null;
  /** Returns the time in ms since the replica was last known to be current. */
  replicaAgeMs(): number;
}

/** Numbers of machines, placed tasks and waiting tasks of one shard. */
interface ShardCounts {
  readonly machines: number;
  readonly placed: number;
  readonly waiting: number;
}

type AddGauge = (name: string, help: string, read: () => number) => void;

function addDetectionGauges(detection: DetectionService, addGauge: AddGauge): void {
  const { counts, probeCounts } = detection;
  addGauge('suspicions', 'Peers that were suspected', () => counts.suspicions);
  addGauge('suspicions_refuted', 'Suspected peers that answered in time', () => counts.refutations);
  addGauge('failures_detected', 'Peers that were found failed', () => counts.failures);
  addGauge('failures_false', 'Of these, peers that answered again', () => counts.falseFailures);
  addGauge('detection_ms', 'Sum of the time from the last answer to the verdict', () => {
    return counts.detectionMs;
  });
  addGauge('probes_sent', 'Probes of peers', () => probeCounts.sent);
  addGauge('probes_failed', 'Probes of peers without an answer', () => probeCounts.failed);
  addGauge('detector_bytes_sent', 'Bytes of probes and answers', () => detection.bytesSent);
  addGauge('detector_messages_dropped', 'Messages and rumours passed over', () =>
    Object.values(counts.dropped).reduce((sum, count) => sum + count, 0),
  );
  addGauge('local_health', '0: trusts its own observations', () => detection.localHealthScore);
}

/** Returns a function that renders the metrics in the Prometheus text format. */
export function createMetricsReader(source: MetricsSource): () => Promise<string> {
  const registry = new Registry();
  const addGauge = (name: string, help: string, read: () => number): void => {
    new Gauge({
      name: `mothbank_${name}`,
      help,
      registers: [registry],
      collect() {
        this.set(read());
      },
    });
  };
  const sumOverShards = (count: keyof ShardCounts): number =>
    [...source.heldShards.values()].reduce((sum, shard) => sum + shard.counts()[count], 0);
  addGauge('view_age_ms', 'Age of the view of the state service', () => source.replicaAgeMs());
  addGauge('leader', '1 on the node that leads', () => (source.leader ? 1 : 0));
  addGauge('parts', 'Parts that this node owns', () => source.heldShards.size);
  addGauge('machines', 'Machines of these parts', () => sumOverShards('machines'));
  addGauge('tasks_placed', 'Tasks placed on them', () => sumOverShards('placed'));
  addGauge('tasks_waiting', 'Tasks that wait in them for room', () => sumOverShards('waiting'));
  addGauge(
    'chunks',
    'Ranges of tasks of all jobs that are not over',
    () => source.replica.assignmentCount,
  );
  const { detection } = source;
  if (detection) addDetectionGauges(detection, addGauge);
  return () => registry.metrics();
}
