/** Puts together how a VM finds out that it has more to do than its processor can, and what it does then. */

import { createLoadShedding } from '../gateway/createLoadShedding';
import type { LoadShedding, LoadSheddingOptions } from '../gateway/createLoadShedding';
import type { GatewayMetrics } from './createGatewayMetrics';
import type { ProcessorWatch, ProcessorWatchStart } from './watchProcessor';
import { watchProcessor } from './watchProcessor';

export interface LoadControl
  extends Pick<ProcessorWatch, 'lag' | 'readDelayMs' | 'stop'>, Pick<LoadShedding, 'isShedding'> {
  readonly start: (options: Omit<ProcessorWatchStart, 'onMeasured'>) => void;
}

export interface LoadControlOptions extends Omit<LoadSheddingOptions, 'lag'> {
  readonly metrics: Pick<GatewayMetrics, 'gauge'>;
}

export function createLoadControl(options: LoadControlOptions): LoadControl {
  const processor = watchProcessor(options);
  const shedding = createLoadShedding({ ...options, lag: processor.lag });
  return {
    ...processor,
    isShedding: shedding.isShedding,
    start: (start) => {
      processor.start({ ...start, onMeasured: shedding.check });
    },
  };
}
