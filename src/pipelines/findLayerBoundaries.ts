/** Finds the boundaries between layers at which a pipeline may be split into stages. */

import type { PipelineInput } from './pipelineInput';

/**
 * @param input the model and its engines
 * @param limit maximum number of inner boundaries; those that most engines share are kept
 * @returns 0, the inner boundaries and the number of layers, in ascending order
 */
export function findLayerBoundaries(
  { model, engines }: PipelineInput,
  limit = Infinity,
): readonly number[] {
  const counts = new Map<number, number>();
  for (const { layers } of engines) {
    for (const boundary of [layers.from, layers.to]) {
      if (boundary > 0 && boundary < model.layers)
        counts.set(boundary, (counts.get(boundary) ?? 0) + 1);
    }
  }
  const common = [...counts].sort((a, b) => b[1] - a[1] || a[0] - b[0]).slice(0, limit);
  return [0, ...common.map(([boundary]) => boundary).sort((a, b) => a - b), model.layers];
}
