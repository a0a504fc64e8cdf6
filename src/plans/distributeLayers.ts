/** Distributes a range of layers among engines by speed, within the limits of their memory. */

import type { Configuration } from '../configuration/configuration';
import type { Engine, LayerRange, ModelId } from '../engines/engine';
import { KV_MEMORY_SHARE } from './findEngineProblems';
import { computeEngineLayerRate } from './computeEngineRate';

/**
 * Assigns every engine a contiguous part of the range, in the order of the engines. Each layer goes
 * to the engine that stays fastest with one more, which maximizes the rate of the slowest part.
 *
 * @returns one range an engine, or undefined if the engines together cannot hold all layers
 */
export function distributeLayers(
  configuration: Configuration,
  model: ModelId,
  range: LayerRange,
  engines: readonly Engine[],
): readonly LayerRange[] | undefined {
  const bytes = configuration.model.get(model)?.bytesPerLayer ?? Infinity;
  const capacities = engines.map((engine) => {
    const kind = configuration.acceleratorKind.get(engine.acceleratorKind);
    if (kind === undefined) return { maxLayers: 0, speed: 0 };
    const memory = kind.memoryBytes * engine.accelerators * (1 - KV_MEMORY_SHARE);
    return { maxLayers: Math.floor(memory / bytes), speed: computeEngineLayerRate(engine, kind) };
  });
  const counts = capacities.map(() => 0);
  for (let layer = range.from; layer < range.to; layer += 1) {
    const best = findFastestWithCapacity(capacities, counts);
    if (best === undefined) return undefined;
    counts[best] = (counts[best] ?? 0) + 1;
  }
  if (counts.some((count) => count === 0)) return undefined;
  return createRanges(range.from, counts);
}

function findFastestWithCapacity(
  capacities: readonly { readonly maxLayers: number; readonly speed: number }[],
  counts: readonly number[],
): number | undefined {
  const candidates = capacities.flatMap(({ maxLayers, speed }, index) => {
    const count = counts[index] ?? 0;
    return count < maxLayers ? [{ index, rate: speed / (count + 1) }] : [];
  });
  candidates.sort((one, other) => other.rate - one.rate);
  return candidates[0]?.index;
}

function createRanges(start: number, counts: readonly number[]): readonly LayerRange[] {
  let from = start;
  return counts.map((count) => {
    const range = { from, to: from + count };
    from = range.to;
    return range;
  });
}
