/** Counts for each layer of a model how many engines hold it. */

import type { PipelineModel } from './pipelineModel';
import type { PlacementCandidate } from './placementCandidate';

/** @returns the number of engines that hold each layer */
export function countHolders(
  model: PipelineModel,
  engines: readonly PlacementCandidate[],
): readonly number[] {
  const holders = Array.from({ length: model.layers }, () => 0);
  for (const { layers } of engines) {
    if (layers === undefined) continue;
    for (let layer = layers.from; layer < layers.to; layer += 1) {
      holders[layer] = (holders[layer] ?? 0) + 1;
    }
  }
  return holders;
}
