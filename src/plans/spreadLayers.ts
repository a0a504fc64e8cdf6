/** Cuts a range of layers among engines, by their speed and within their memory. */

import type { Configuration } from '../configuration/configuration';
import type { Engine, LayerRange, ModelId } from '../engines/engine';
import { KV_MEMORY_SHARE } from './engineProblems';
import { engineLayerTokens } from './engineRate';

/**
 * Gives every engine a contiguous part of the range, in the order of the engines. Layers go one by
 * one to the engine that would stay fastest with one more, which makes the slowest part as fast as
 * it can be.
 *
 * @returns one range an engine, or undefined where the engines cannot hold all layers together
 */
export function spreadLayers(
  configuration: Configuration,
  model: ModelId,
  range: LayerRange,
  engines: readonly Engine[],
): readonly LayerRange[] | undefined {
  const bytes = configuration.model.get(model)?.bytesPerLayer ?? Infinity;
  const rooms = engines.map((engine) => {
    const kind = configuration.acceleratorKind.get(engine.acceleratorKind);
    if (kind === undefined) return { most: 0, speed: 0 };
    const memory = kind.memoryBytes * engine.accelerators * (1 - KV_MEMORY_SHARE);
    return { most: Math.floor(memory / bytes), speed: engineLayerTokens(engine, kind) };
  });
  const counts = rooms.map(() => 0);
  for (let layer = range.from; layer < range.to; layer += 1) {
    const best = fastestWithRoom(rooms, counts);
    if (best === undefined) return undefined;
    counts[best] = (counts[best] ?? 0) + 1;
  }
  if (counts.some((count) => count === 0)) return undefined;
  return cutRanges(range.from, counts);
}

function fastestWithRoom(
  rooms: readonly { readonly most: number; readonly speed: number }[],
  counts: readonly number[],
): number | undefined {
  const open = rooms.flatMap(({ most, speed }, index) => {
    const count = counts[index] ?? 0;
    return count < most ? [{ index, rate: speed / (count + 1) }] : [];
  });
  open.sort((one, other) => other.rate - one.rate);
  return open[0]?.index;
}

function cutRanges(start: number, counts: readonly number[]): readonly LayerRange[] {
  let from = start;
  return counts.map((count) => {
    const range = { from, to: from + count };
    from = range.to;
    return range;
  });
}
