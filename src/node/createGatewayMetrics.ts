/** Counters and latency histograms of a gateway, in the Prometheus text format. */

import { Counter, Gauge, Histogram, Registry } from 'prom-client';
import type { Latency } from '../gateway/job';

export interface GatewayMetrics {
  readonly count: (counter: string, label?: string) => void;
  readonly observe: (histogram: Latency, ms: number) => void;
  readonly gauge: (name: string, help: string, read: () => number) => void;
  readonly text: () => Promise<string>;
  readonly contentType: string;
}

/** Upper bounds of the histogram buckets, milliseconds; they cover the latency targets of the routes. */
const BUCKETS_MS = [5, 10, 25, 50, 100, 200, 350, 500, 1000, 2000, 5000, 10_000];

/** Creates the metrics in a separate registry. */
export function createGatewayMetrics(): GatewayMetrics {
  const registry = new Registry();
  const registers = [registry];
  const histogram = (name: string, help: string): Histogram =>
    new Histogram({ name, help, buckets: BUCKETS_MS, registers });
  const histograms = {
    first_event: histogram('citronpass_first_event_ms', 'From a request to its first event.'),
    event_gap: histogram('citronpass_event_gap_ms', 'Between two events of a stream.'),
    call: histogram('citronpass_call_ms', 'From a call to its answer.'),
    read_delay: histogram(
      'citronpass_read_delay_ms',
      'Estimated wait of a request for the processor before it is read.',
    ),
  };
  const counters = new Map<string, Counter>();
  const openCounter = (name: string): Counter => {
    const counter = new Counter({
      name: `citronpass_${name}_total`,
      help: `Count of ${name.replaceAll('_', ' ')}.`,
      labelNames: ['outcome'],
      registers,
    });
    counters.set(name, counter);
    return counter;
  };
  return {
    count: (name, label = '') => {
      (counters.get(name) ?? openCounter(name)).inc({ outcome: label });
    },
    observe: (name, ms) => {
      histograms[name].observe(ms);
    },
    gauge: (name, help, read) => {
      new Gauge({
        name: `citronpass_${name}`,
        help,
        registers,
        collect() {
          this.set(read());
        },
      });
    },
    text: () => registry.metrics(),
    contentType: registry.contentType,
  };
}
