/** Cuts a model's layers among engines in a chain so that the slowest stage is as fast as it can be. */

import type { LayerRange } from '../../engines/engine';
import type { PlacementEngine, PlacementModel } from './placement';

export interface CutPipeline {
  readonly ranges: readonly LayerRange[];
  /** Tokens a second of the slowest stage. */
  readonly flow: number;
}

/**
 * Layers go one by one to the engine that stays fastest with one more, within its memory; this
 * greedy choice is optimal for the slowest stage.
 *
 * @returns undefined where the engines cannot hold all layers, or one of them would get none
 */
export function cutPipeline(
  model: PlacementModel,
  engines: readonly PlacementEngine[],
): CutPipeline | undefined {
  const room = engines.map(({ memoryBytes }) => Math.floor(memoryBytes / model.bytesPerLayer));
  const counts = engines.map(() => 0);
  for (let layer = 0; layer < model.layers; layer += 1) {
    let best = -1;
    let bestRate = 0;
    engines.forEach(({ layerTokens }, index) => {
      const count = counts[index] ?? 0;
      const rate = layerTokens / (count + 1);
      if (count >= (room[index] ?? 0) || rate <= bestRate) return;
      best = index;
      bestRate = rate;
    });
    if (best < 0) return undefined;
    counts[best] = (counts[best] ?? 0) + 1;
  }
  if (counts.includes(0)) return undefined;
  const rates = engines.map(({ layerTokens }, index) => layerTokens / (counts[index] ?? 1));
  return { ranges: chain(counts), flow: Math.min(...rates) };
}

function chain(counts: readonly number[]): readonly LayerRange[] {
  let from = 0;
  return counts.map((count) => {
    const range = { from, to: from + count };
    from = range.to;
    return range;
  });
}
