/** Mends holes in the layers that a failure domain holds, by its own spare copies. */

import { layerRoom } from './layerRoom';
import type { PipelineModel } from './pipelineModel';
import type { LayerOrder, PlacementCandidate } from './placementCandidate';

/** Turns spare copies over to layers that their failure domain lacks, one engine of each at a time. */
export function moveSpares(
  model: PipelineModel,
  engines: readonly PlacementCandidate[],
): readonly LayerOrder[] {
  const domains = [...new Set(engines.map(({ failureDomain }) => failureDomain))].sort();
  const orders = domains.flatMap((domain) => {
    const own = engines.filter(({ failureDomain }) => failureDomain === domain);
    const room = own.reduce((sum, { kind }) => sum + layerRoom(model, kind), 0);
    return room < model.layers ? [] : moveSpare(model, own);
  });
  return orders.length > 0 ? orders : moveSpare(model, engines);
}

/** Number of engines that hold each layer. */
function countHolders(
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

/** Turns one engine over to the first layers that nobody holds, if its own have another holder. */
function moveSpare(
  model: PipelineModel,
  engines: readonly PlacementCandidate[],
): readonly LayerOrder[] {
  const holders = countHolders(model, engines);
  const from = holders.indexOf(0);
  if (from < 0 || engines.every(({ layers }) => layers === undefined)) return [];
  let to = from;
  while (to < model.layers && holders[to] === 0) to += 1;
  const spares = engines.filter(
    ({ layers, isFree, kind }) =>
      isFree &&
      layers !== undefined &&
      layerRoom(model, kind) > 0 &&
      holders.slice(layers.from, layers.to).every((count) => count > 1),
  );
  const cost = ({ kind, loadShare }: PlacementCandidate): number =>
    Math.abs(layerRoom(model, kind) - (to - from)) / model.layers + loadShare;
  const [spare] = spares.sort((one, other) => cost(one) - cost(other));
  if (spare === undefined) return [];
  const size = Math.min(layerRoom(model, spare.kind), to - from);
  return [{ id: spare.id, layers: { from, to: from + size } }];
}
