/** The time between tokens that callers see now, for each model. */

import type { ModelId } from '../engines/engine';
import type { Router } from './router';

interface Sum {
  readonly ms: number;
  readonly streams: number;
}

/**
 * A stream that is silent for longer than its pace counts by its silence, so that a slow-down shows
 * before its late tokens come.
 *
 * @param router the router
 * @param atMs now
 * @returns mean milliseconds between tokens; models without a pace are left out
 */
export function meanIntervals(router: Router, atMs: number): ReadonlyMap<ModelId, number> {
  const sums = new Map<ModelId, Sum>();
  for (const { model, phase, paceMs, progressAtMs } of router.requests.values()) {
    if (phase !== 'streaming' || paceMs === 0) continue;
    const { ms, streams } = sums.get(model) ?? { ms: 0, streams: 0 };
    const intervalMs = Math.max(paceMs, atMs - progressAtMs);
    sums.set(model, { ms: ms + intervalMs, streams: streams + 1 });
  }
  return new Map([...sums].map(([model, { ms, streams }]) => [model, ms / streams]));
}
