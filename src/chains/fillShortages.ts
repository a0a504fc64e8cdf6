/** Gives empty engines the layers for which the fewest tokens fit. */

import type { LayerRange } from '../engines/engine';
import { layerRoom } from './layerRoom';
import type { PipelineModel } from './pipelineModel';
import type { LayerOrder, PlacementCandidate } from './placementCandidate';

/** Weight of the own failure domain's shortage against the shortage of all. */
const DOMAIN_WEIGHT = 2;

/** Tokens added to a layer's room before it is inverted, so that an uncovered layer weighs most. */
const SHORTAGE_OFFSET = 2_000;

/** Gives each empty engine the range where the fewest tokens fit, largest engines first. */
export function fillShortages(
  model: PipelineModel,
  engines: readonly PlacementCandidate[],
): readonly LayerOrder[] {
  const empty = engines
    .filter(
      ({ layers, isFree, kind }) => layers === undefined && isFree && layerRoom(model, kind) > 0,
    )
    .sort((one, other) => layerRoom(model, other.kind) - layerRoom(model, one.kind));
  const placed = [...engines];
  return empty.map((engine) => {
    const layers = shortestRange(model, placed, engine);
    placed.push({ ...engine, layers });
    return { id: engine.id, layers };
  });
}

/** The range of an engine's size that covers the greatest shortage. */
function shortestRange(
  model: PipelineModel,
  placed: readonly PlacementCandidate[],
  { kind, failureDomain }: PlacementCandidate,
): LayerRange {
  const all = roomByLayer(model, placed);
  const own = roomByLayer(
    model,
    placed.filter((engine) => engine.failureDomain === failureDomain),
  );
  const shortage = all.map(
    (tokens, layer) =>
      1 / (tokens + SHORTAGE_OFFSET) + DOMAIN_WEIGHT / ((own[layer] ?? 0) + SHORTAGE_OFFSET),
  );
  const size = layerRoom(model, kind);
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

/** Tokens that fit on each layer, over the engines that hold it. */
function roomByLayer(
  model: PipelineModel,
  engines: readonly PlacementCandidate[],
): readonly number[] {
  const room = Array.from({ length: model.layers }, () => 0);
  for (const { kind, layers } of engines) {
    if (layers === undefined) continue;
    const tokens = tokenRoom(model, kind, layers.to - layers.from);
    for (let layer = layers.from; layer < layers.to; layer += 1) {
      room[layer] = (room[layer] ?? 0) + tokens;
    }
  }
  return room;
}

/** Tokens that fit on an engine that holds so many layers. */
function tokenRoom(model: PipelineModel, kind: string, layers: number): number {
  const memoryMb = model.kinds.get(kind)?.memoryMb ?? 0;
  return Math.max(0, (memoryMb - layers * model.layerMb) / (model.tokenLayerMb * layers));
}
