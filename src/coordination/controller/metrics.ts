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
  addGauge('suspicions', 'Suspicions of peers', () => counts.suspicions);
  addGauge(
    'suspicions_refuted',
    'Suspicions that the peer refuted before they timed out',
    () => counts.refutations,
  );
  addGauge('failures_detected', 'Peers whose failure was detected', () => counts.failures);
  addGauge(
    'failures_false',
    'Detected failures that the peer refuted afterwards',
    () => counts.falseFailures,
  );
  addGauge(
    'detection_ms',
    'Sum in ms of the times from the last answered probe to the detected failure',
    () => {
      return counts.detectionMs;
    },
  );
  addGauge('probes_sent', 'Probes that were started', () => probeCounts.sent);
  addGauge('probes_failed', 'Probes that failed', () => probeCounts.failed);
  addGauge('detector_bytes_sent', 'Bytes of sent detector messages', () => detection.bytesSent);
  addGauge('detector_messages_dropped', 'Detector messages and updates that were dropped', () =>
    Object.values(counts.dropped).reduce((sum, count) => sum + count, 0),
  );
  addGauge('local_health', 'Local health score; 0: healthy', () => detection.localHealthScore);
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
  addGauge('view_age_ms', 'Age in ms of the replica of the key-value store', () =>
    source.replicaAgeMs(),
  );
  addGauge('leader', '1 on the controller that is the leader, otherwise 0', () =>
    source.leader ? 1 : 0,
  );
  addGauge('parts', 'Shards that this controller holds', () => source.heldShards.size);
  addGauge('machines', 'Machines of these shards', () => sumOverShards('machines'));
  addGauge('tasks_placed', 'Tasks placed on these machines', () => sumOverShards('placed'));
  addGauge('tasks_waiting', 'Tasks of these shards that wait for free capacity', () =>
    sumOverShards('waiting'),
  );
  addGauge(
    'chunks',
    'Assignments of all jobs that have not ended',
    () => source.replica.assignmentCount,
  );
  const { detection } = source;
  if (detection) addDetectionGauges(detection, addGauge);
  return () => registry.metrics();
}
