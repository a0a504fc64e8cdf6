/**
 * Decides which layers each engine holds.
 *
 * Every engine of a chain reserves memory for the same number of tokens, since the fullest engine limits
 * the chain. Chains within one failure domain come first: their tokens use no slow link, and the failure
 * of a domain affects only its own chains. Remaining engines and engines that restart empty take the
 * layers with the least token capacity, so a gap is filled before a redundant copy is made. A reserve only fills
 * gaps: an engine without requests loads at once, while a redundant one first ends those that it runs.
 */

import { placeInitialChains } from './placeInitialChains';
import { fillShortages } from './fillShortages';
import { reassignSpares } from './reassignSpares';
import type { PipelineModel } from './pipelineModel';
import type { LayerOrder, PlacementCandidate } from './placementCandidate';

/**
 * Plans orders for the engines that can take layers.
 *
 * @param model the model and its kinds of engines
 * @param engines all engines of the model, in any order
 * @returns orders for empty engines; if there are none, orders for redundant engines that cover layers
 *   their failure domain lacks
 */
export function planLayers(
  model: PipelineModel,
  engines: readonly PlacementCandidate[],
): readonly LayerOrder[] {
  const sorted = [...engines].sort((one, other) => (one.id < other.id ? -1 : 1));
  const isUnplaced = sorted.every(({ layers }) => layers === undefined);
  const initial = isUnplaced ? placeInitialChains(model, sorted) : [];
  const placed = applyOrders(sorted, initial);
  const filled = fillShortages(model, placed);
  const orders = [...initial, ...filled];
  return orders.length > 0 ? orders : reassignSpares(model, placed);
}

function applyOrders(
  engines: readonly PlacementCandidate[],
  orders: readonly LayerOrder[],
): readonly PlacementCandidate[] {
  const layersOf = new Map(orders.map(({ id, layers }) => [id, layers]));
  return engines.map((engine) => ({ ...engine, layers: layersOf.get(engine.id) ?? engine.layers }));
}
