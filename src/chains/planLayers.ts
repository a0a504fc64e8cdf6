/**
 * Decides which layers each engine holds.
 *
 * Every engine of a chain leaves the same room for requests, counted in tokens, since the fullest
 * engine bounds the chain. Chains are closed within a failure domain first: a token then crosses no
 * slow link, and the loss of a domain takes only its own chains. Engines that are left over or come
 * back empty take the layers for which the fewest tokens fit, so a hole is filled before a spare copy
 * is made.
 */

import { closeChains } from './closeChains';
import { fillShortages } from './fillShortages';
import { moveSpares } from './moveSpares';
import type { PipelineModel } from './pipelineModel';
import type { LayerOrder, PlacementCandidate } from './placementCandidate';

/**
 * Plans orders for the engines that can take layers.
 *
 * @param model the model and its kinds of engines
 * @param engines all engines of the model, in any order
 * @returns orders for empty engines; where there is none, for spare copies whose failure domain lacks
 *   other layers
 */
export function planLayers(
  model: PipelineModel,
  engines: readonly PlacementCandidate[],
): readonly LayerOrder[] {
  const sorted = [...engines].sort((one, other) => (one.id < other.id ? -1 : 1));
  const isFresh = sorted.every(({ layers }) => layers === undefined);
  const first = isFresh ? closeChains(model, sorted) : [];
  const placed = applyOrders(sorted, first);
  const filled = fillShortages(model, placed);
  const orders = [...first, ...filled];
  return orders.length > 0 ? orders : moveSpares(model, placed);
}

function applyOrders(
  engines: readonly PlacementCandidate[],
  orders: readonly LayerOrder[],
): readonly PlacementCandidate[] {
  const layersOf = new Map(orders.map(({ id, layers }) => [id, layers]));
  return engines.map((engine) => ({ ...engine, layers: layersOf.get(engine.id) ?? engine.layers }));
}
