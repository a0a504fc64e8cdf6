/** Puts together how a VM finds out that it has more to do than its processor can, and what it does then. */

import { createLoadShedding } from '../gateway/createLoadShedding';
import type { LoadShedding, LoadSheddingOptions } from '../gateway/createLoadShedding';
import { createWorkLimit } from '../overload/createWorkLimit';
import type { WorkLimit } from '../overload/createWorkLimit';
import type { GatewayMetrics } from './createGatewayMetrics';
import type { ProcessorWatch, ProcessorWatchStart } from './watchProcessor';
import { watchProcessor } from './watchProcessor';

export interface LoadControl
  extends Pick<ProcessorWatch, 'lag' | 'readDelayMs' | 'stop'>, Pick<LoadShedding, 'isShedding'> {
  readonly workLimit: WorkLimit;
  readonly start: (options: Omit<ProcessorWatchStart, 'onMeasured'>) => void;
}

export interface LoadControlOptions extends Omit<LoadSheddingOptions, 'lag'> {
  readonly metrics: Pick<GatewayMetrics, 'gauge'>;
}

/** Delay after which a caller may try a VM that has room, milliseconds. */
const ELSEWHERE_RETRY_MS = 50;

export function createLoadControl(options: LoadControlOptions): LoadControl {
  const processor = watchProcessor(options);
  const shedding = createLoadShedding({ ...options, lag: processor.lag });
  const workLimit = createWorkLimit({ ...options, random: Math.random });
  options.metrics.gauge(
    'work_limit',
    'Requests that may be open at the same time; 0 without a limit.',
    () => workLimit.limit() ?? 0,
  );
  return {
    ...processor,
    workLimit: {
      ...workLimit,
      retryAfterMs: () => (shedding.isShedding() ? ELSEWHERE_RETRY_MS : workLimit.retryAfterMs()),
    },
    isShedding: shedding.isShedding,
    start: (start) => {
      processor.start({
        ...start,
        onMeasured: (measurement) => {
          shedding.check();
          workLimit.measure(measurement);
        },
      });
    },
  };
}
