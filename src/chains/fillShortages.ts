/** Assigns empty engines the layers with the least token capacity. */

import type { LayerRange } from '../engines/engine';
import { computeLayerCapacity } from './computeLayerCapacity';
import { countHolders } from './countHolders';
import type { PipelineModel } from './pipelineModel';
import type { LayerOrder, PlacementCandidate } from './placementCandidate';

/** Weight of the shortage in the engine's own failure domain; the shortage over all domains weighs 1. */
const DOMAIN_WEIGHT = 2;

/** Tokens added to a layer's capacity before it is inverted; a layer without capacity weighs most. */
const SHORTAGE_OFFSET = 2_000;

/**
 * Assigns each empty engine the range with the least token capacity, largest engines first. A reserve is assigned
 * only where its failure domain lacks layers that it could hold, or no engine at all holds them.
 */
export function fillShortages(
  model: PipelineModel,
  engines: readonly PlacementCandidate[],
): readonly LayerOrder[] {
  const empty = engines
    .filter(
      ({ layers, isAssignable, kind }) =>
        layers === undefined && isAssignable && computeLayerCapacity(model, kind) > 0,
    )
    .sort(
      (one, other) =>
        computeLayerCapacity(model, other.kind) - computeLayerCapacity(model, one.kind),
    );
  const placed = [...engines];
  return empty.flatMap((engine) => {
    if (engine.isReserve === true && !isNeeded(model, placed, engine)) return [];
    const layers = findScarcestRange(model, placed, engine);
    placed.push({ ...engine, layers });
    return [{ id: engine.id, layers }];
  });
}

function isNeeded(
  model: PipelineModel,
  placed: readonly PlacementCandidate[],
  { failureDomain }: PlacementCandidate,
): boolean {
  const own = placed.filter((engine) => engine.failureDomain === failureDomain);
  const fitting = own.reduce((sum, { kind }) => sum + computeLayerCapacity(model, kind), 0);
  return countHolders(model, fitting < model.layers ? placed : own).includes(0);
}

/** Finds the range of the engine's size that covers the greatest shortage. */
function findScarcestRange(
  model: PipelineModel,
  placed: readonly PlacementCandidate[],
  { kind, failureDomain }: PlacementCandidate,
): LayerRange {
  const all = sumTokenCapacity(model, placed);
  const own = sumTokenCapacity(
    model,
    placed.filter((engine) => engine.failureDomain === failureDomain),
  );
  const shortage = all.map(
    (tokens, layer) =>
      1 / (tokens + SHORTAGE_OFFSET) + DOMAIN_WEIGHT / ((own[layer] ?? 0) + SHORTAGE_OFFSET),
  );
  const size = computeLayerCapacity(model, kind);
  let best = 0;
  let bestShortage = -1;
  for (let from = 0; from + size <= model.layers; from += 1) {
    const covered = shortage.slice(from, from + size).reduce((sum, value) => sum + value, 0);
    if (covered <= bestShortage * (1 + Number.EPSILON * model.layers)) continue;
    best = from;
    bestShortage = covered;
  }
  return { from: best, to: best + size };
}

/** Token capacity of each layer, summed over the engines that hold it. */
function sumTokenCapacity(
  model: PipelineModel,
  engines: readonly PlacementCandidate[],
): readonly number[] {
  const capacity = Array.from({ length: model.layers }, () => 0);
  for (const { kind, layers } of engines) {
    if (layers === undefined) continue;
    const tokens = computeTokenCapacity(model, kind, layers.to - layers.from);
    for (let layer = layers.from; layer < layers.to; layer += 1) {
      capacity[layer] = (capacity[layer] ?? 0) + tokens;
    }
  }
  return capacity;
}

/** Token capacity of an engine that holds the given number of layers. */
function computeTokenCapacity(model: PipelineModel, kind: string, layers: number): number {
  const memoryMb = model.kinds.get(kind)?.memoryMb ?? 0;
  return Math.max(0, (memoryMb - layers * model.layerMb) / (model.tokenLayerMb * layers));
}
