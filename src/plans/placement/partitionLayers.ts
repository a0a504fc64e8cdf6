/** Partitions a model's layers among the engines of a pipeline to maximize the slowest stage's speed. */

import type { LayerRange } from '../../engines/engine';
import type { PlacementEngine, PlacementModel } from './placement';

export interface LayerPartition {
  readonly ranges: readonly LayerRange[];
  /** Tokens a second of the slowest stage. */
  readonly throughput: number;
}

/**
 * Assigns layers one by one to the engine that is fastest after the addition and has memory for it. This
 * greedy choice is optimal for the slowest stage.
 *
 * @returns undefined if the engines cannot hold all layers, or if one of them would get none
 */
export function partitionLayers(
  model: PlacementModel,
  engines: readonly PlacementEngine[],
): LayerPartition | undefined {
  const capacities = engines.map(({ memoryBytes }) =>
    Math.floor(memoryBytes / model.bytesPerLayer),
  );
  const counts = engines.map(() => 0);
  for (let layer = 0; layer < model.layers; layer += 1) {
    let best = -1;
    let bestRate = 0;
    engines.forEach(({ layerTokens }, index) => {
      const count = counts[index] ?? 0;
      const rate = layerTokens / (count + 1);
      if (count >= (capacities[index] ?? 0) || rate <= bestRate) return;
      best = index;
      bestRate = rate;
    });
    if (best < 0) return undefined;
    counts[best] = (counts[best] ?? 0) + 1;
  }
  if (counts.includes(0)) return undefined;
  const rates = engines.map(({ layerTokens }, index) => layerTokens / (counts[index] ?? 1));
  return { ranges: toConsecutiveRanges(counts), throughput: Math.min(...rates) };
}

function toConsecutiveRanges(counts: readonly number[]): readonly LayerRange[] {
  let from = 0;
  return counts.map((count) => {
    const range = { from, to: from + count };
    from = range.to;
    return range;
  });
}
