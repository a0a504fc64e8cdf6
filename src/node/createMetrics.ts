/** The daemon's counters and gauges, in the Prometheus text format. */

import { Counter, Gauge, Registry, collectDefaultMetrics } from 'prom-client';

export interface Metrics {
  /** Adds to `citronpass_<counter>_total`; the first use of a counter fixes its label names. */
  readonly count: (counter: string, by?: number, labels?: Readonly<Record<string, string>>) => void;
  /** Registers the gauge `citronpass_<name>`, which is read at each scrape. */
  readonly gauge: (name: string, help: string, read: () => number) => void;
  readonly contentType: string;
  readonly text: () => Promise<string>;
}

/** Creates the metrics in a separate registry, so that several nodes can run in one process. */
export function createMetrics(): Metrics {
  const registry = new Registry();
  collectDefaultMetrics({ register: registry, prefix: 'citronpass_' });
  const counters = new Map<string, { counter: Counter; labelNames: readonly string[] }>();
  const getOrCreateCounter = (name: string, labelNames: readonly string[]) => {
    const existing = counters.get(name);
    if (existing !== undefined) return existing;
    const counter = new Counter({
      name: `citronpass_${toMetricName(name)}_total`,
      help: `Count of ${name.replaceAll(/[-_]/g, ' ')}.`,
      labelNames: [...labelNames],
      registers: [registry],
    });
    const created = { counter, labelNames };
    counters.set(name, created);
    return created;
  };
  return {
    count: (name, by = 1, labels = {}) => {
      const { counter, labelNames } = getOrCreateCounter(name, Object.keys(labels));
      counter.inc(Object.fromEntries(labelNames.map((label) => [label, labels[label] ?? ''])), by);
    },
    gauge: (name, help, read) => {
      new Gauge({
        name: `citronpass_${toMetricName(name)}`,
        help,
        registers: [registry],
        collect() {
          this.set(read());
        },
      });
    },
    contentType: registry.contentType,
    text: () => registry.metrics(),
  };
}

function toMetricName(name: string): string {
  return name.replaceAll(/[^A-Za-z0-9_]/g, '_');
}
