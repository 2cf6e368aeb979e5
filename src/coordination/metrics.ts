/** The metrics of one controller. */

import { Gauge, Registry } from 'prom-client';
import type { ControllerNode } from './node.js';

/** The node's figures in the Prometheus text format; loaded only when they are first asked for. */
export function metricsOf(node: ControllerNode): () => Promise<string> {
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
  const machines = () => [...node.parts.values()].map((part) => part.counts());
  gauge('view_age_ms', 'Age of the view of the state service', () => node.viewAgeMs());
  gauge('leader', '1 on the node that leads', () => (node.leader ? 1 : 0));
  gauge('parts', 'Parts that this node owns', () => node.parts.size);
  gauge('machines', 'Machines of these parts', () =>
    machines().reduce((sum, one) => sum + one.machines, 0),
  );
  gauge('tasks_placed', 'Tasks placed on them', () =>
    machines().reduce((sum, one) => sum + one.placed, 0),
  );
  gauge('tasks_waiting', 'Tasks that wait in them for room', () =>
    machines().reduce((sum, one) => sum + one.waiting, 0),
  );
  gauge('chunks', 'Ranges of tasks of all jobs that are not over', () => node.replica.chunkCount);
  return () => registry.metrics();
}
