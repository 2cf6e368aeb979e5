/** The metrics of one controller. */

import { Gauge, Registry } from 'prom-client';
import type { ControllerCore } from './controller-core.js';
import type { DetectionService } from '../failure-detection/detection-service.js';

type AddGauge = (name: string, help: string, read: () => number) => void;

function addDetectionGauges(detection: DetectionService, gauge: AddGauge): void {
  const { counts, probeCounts } = detection;
  gauge('suspicions', 'Peers that were suspected', () => counts.suspicions);
  gauge('suspicions_refuted', 'Suspected peers that answered in time', () => counts.refutations);
  gauge('failures_detected', 'Peers that were found failed', () => counts.failures);
  gauge('failures_false', 'Of these, peers that answered again', () => counts.falseFailures);
  gauge('detection_ms', 'Sum of the time from the last answer to the verdict', () => {
    return counts.detectionMs;
  });
  gauge('probes_sent', 'Probes of peers', () => probeCounts.sent);
  gauge('probes_failed', 'Probes of peers without an answer', () => probeCounts.failed);
  gauge('detector_bytes_sent', 'Bytes of probes and answers', () => detection.bytesSent);
  gauge('detector_messages_dropped', 'Messages and rumours passed over', () =>
    Object.values(counts.dropped).reduce((sum, one) => sum + one, 0),
  );
  gauge('local_health', '0: trusts its own observations', () => detection.localHealthScore);
}

/** The node's figures in the Prometheus text format; loaded only when they are first asked for. */
export function createMetricsReader(node: ControllerCore): () => Promise<string> {
  const registry = new Registry();
  const gauge = (name: string, help: string, read: () => number): void => {
    new Gauge({
      name: `mothbank_${name}`,
      help,
      registers: [registry],
      collect() {
        this.set(read());
      },
    });
  };
  const machines = () => [...node.heldShards.values()].map((shard) => shard.counts());
  gauge('view_age_ms', 'Age of the view of the state service', () => node.replicaAgeMs());
  gauge('leader', '1 on the node that leads', () => (node.leader ? 1 : 0));
  gauge('parts', 'Parts that this node owns', () => node.heldShards.size);
  gauge('machines', 'Machines of these parts', () =>
    machines().reduce((sum, one) => sum + one.machines, 0),
  );
  gauge('tasks_placed', 'Tasks placed on them', () =>
    machines().reduce((sum, one) => sum + one.placed, 0),
  );
  gauge('tasks_waiting', 'Tasks that wait in them for room', () =>
    machines().reduce((sum, one) => sum + one.waiting, 0),
  );
  gauge(
    'chunks',
    'Ranges of tasks of all jobs that are not over',
    () => node.replica.assignmentCount,
  );
  const { detection } = node;
  if (detection) addDetectionGauges(detection, gauge);
  return () => registry.metrics();
}
