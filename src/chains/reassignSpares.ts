/** Fills gaps in the layers that a failure domain holds by reassigning its redundant engines. */

import { computeLayerCapacity } from './computeLayerCapacity';
import { countHolders } from './countHolders';
import type { PipelineModel } from './pipelineModel';
import type { LayerOrder, PlacementCandidate } from './placementCandidate';

/**
 * Reassigns redundant engines to layers that their failure domain lacks, at most one engine per domain and
 * call. If no domain with enough capacity can do so, one engine of any domain covers a gap of the model.
 */
export function reassignSpares(
  model: PipelineModel,
  engines: readonly PlacementCandidate[],
): readonly LayerOrder[] {
  const domains = [...new Set(engines.map(({ failureDomain }) => failureDomain))].sort();
  const orders = domains.flatMap((domain) => {
    const own = engines.filter(({ failureDomain }) => failureDomain === domain);
    const capacity = own.reduce((sum, { kind }) => sum + computeLayerCapacity(model, kind), 0);
    return capacity < model.layers ? [] : reassignSpare(model, own);
  });
  return orders.length > 0 ? orders : reassignSpare(model, engines);
}

/** Reassigns one engine whose layers are all held elsewhere to the first layers that no engine holds. */
function reassignSpare(
  model: PipelineModel,
  engines: readonly PlacementCandidate[],
): readonly LayerOrder[] {
  const holders = countHolders(model, engines);
  const from = holders.indexOf(0);
  if (from < 0 || engines.every(({ layers }) => layers === undefined)) return [];
  let to = from;
  while (to < model.layers && holders[to] === 0) to += 1;
  const spares = engines.filter(
    ({ layers, isAssignable, kind }) =>
      isAssignable &&
      layers !== undefined &&
      computeLayerCapacity(model, kind) > 0 &&
      holders.slice(layers.from, layers.to).every((count) => count > 1),
  );
  const cost = ({ kind, loadShare }: PlacementCandidate): number =>
    Math.abs(computeLayerCapacity(model, kind) - (to - from)) / model.layers + loadShare;
  const [spare] = spares.sort((one, other) => cost(one) - cost(other));
  if (spare === undefined) return [];
  const size = Math.min(computeLayerCapacity(model, spare.kind), to - from);
  return [{ id: spare.id, layers: { from, to: from + size } }];
}
