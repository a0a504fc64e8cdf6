/** Opens the log of a gateway on standard output, with the errors that no handler foresees. */

import { createEventLog } from '../adapters/gateway/createEventLog';
import type { LogFields } from '../gateway/job';
import { containErrors } from './containErrors';
import type { GatewayMetrics } from './createGatewayMetrics';
import { createLineOutput } from './createLineOutput';

export interface GatewayLogOptions {
  readonly vm: string;
  readonly metrics: GatewayMetrics;
  /** Monotonic clock, milliseconds. */
  readonly now: () => number;
}

/** @returns writes one line */
export function openGatewayLog({
  vm,
  metrics,
  now,
}: GatewayLogOptions): (message: string, fields: LogFields) => void {
  const output = createLineOutput(process.stdout);
  const { write, dropped } = createEventLog({ vm, output: output.write, now });
  metrics.gauge(
    'log_lines_dropped',
    'Log lines dropped to bound their rate, or for a reader that is slow or gone.',
    () => dropped() + output.dropped(),
  );
  containErrors({ log: write, count: metrics.count });
  return write;
}
