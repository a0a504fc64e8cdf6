/** Computes the current mean token interval of each model. */

import type { ModelId } from '../engines/engine';
import type { Router } from './router';

interface Sum {
  readonly ms: number;
  readonly streams: number;
}

/**
 * For a stream that is silent for longer than its mean interval, the silence counts instead. A
 * slow-down thus shows before the late tokens arrive.
 *
 * @param router the router
 * @param atMs the current time
 * @returns mean milliseconds between tokens; models without a known interval are omitted
 */
export function computeTokenIntervals(router: Router, atMs: number): ReadonlyMap<ModelId, number> {
  const sums = new Map<ModelId, Sum>();
  for (const { model, phase, meanTokenIntervalMs, progressAtMs } of router.requests.values()) {
    if (phase !== 'streaming' || meanTokenIntervalMs === 0) continue;
    const { ms, streams } = sums.get(model) ?? { ms: 0, streams: 0 };
    const intervalMs = Math.max(meanTokenIntervalMs, atMs - progressAtMs);
    sums.set(model, { ms: ms + intervalMs, streams: streams + 1 });
  }
  return new Map([...sums].map(([model, { ms, streams }]) => [model, ms / streams]));
}
