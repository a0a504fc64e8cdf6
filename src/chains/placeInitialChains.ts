/** Plans the initial placement: complete chains, within one failure domain where possible. */

import { computeLayerCapacity } from './computeLayerCapacity';
import type { PipelineModel } from './pipelineModel';
import type { LayerOrder, PlacementCandidate } from './placementCandidate';

/** Places as many chains as fit in each failure domain, then chains over the remaining engines. */
export function placeInitialChains(
  model: PipelineModel,
  engines: readonly PlacementCandidate[],
): readonly LayerOrder[] {
  const domains = [...new Set(engines.map(({ failureDomain }) => failureDomain))].sort();
  const orders: LayerOrder[] = [];
  for (const domain of domains) {
    orders.push(
      ...placeLocalChains(
        model,
        engines.filter(({ failureDomain }) => failureDomain === domain),
      ),
    );
  }
  const used = new Set(orders.map(({ id }) => id));
  const remaining = engines.filter(({ id }) => !used.has(id));
  return [...orders, ...placeCrossDomainChains(model, remaining)];
}

/**
 * Places chains over several domains. Engines of the same domain are adjacent in a chain, because
 * cross-domain hops are expensive.
 */
function placeCrossDomainChains(
  model: PipelineModel,
  engines: readonly PlacementCandidate[],
): readonly LayerOrder[] {
  const orders: LayerOrder[] = [];
  let remaining = [...engines]
    .filter(({ isAssignable, kind }) => isAssignable && computeLayerCapacity(model, kind) > 0)
    .sort((one, other) => (one.failureDomain < other.failureDomain ? -1 : 1));
  for (;;) {
    const chain = buildChainInOrder(model, remaining);
    if (chain === undefined) return orders;
    orders.push(...chain);
    const used = new Set(chain.map(({ id }) => id));
    remaining = remaining.filter(({ id }) => !used.has(id));
  }
}

function buildChainInOrder(
  model: PipelineModel,
  engines: readonly PlacementCandidate[],
): readonly LayerOrder[] | undefined {
  const orders: LayerOrder[] = [];
  let from = 0;
  for (const { id, kind } of engines) {
    const to = Math.min(model.layers, from + computeLayerCapacity(model, kind));
    orders.push({ id, layers: { from, to } });
    if (to === model.layers) return orders;
    from = to;
  }
  return undefined;
}

/** Places chains from the largest engines until no further chain is complete. */
function placeLocalChains(
  model: PipelineModel,
  engines: readonly PlacementCandidate[],
): readonly LayerOrder[] {
  let remaining = engines
    .filter(({ isAssignable, kind }) => isAssignable && computeLayerCapacity(model, kind) > 0)
    .sort(
      (one, other) =>
        computeLayerCapacity(model, other.kind) - computeLayerCapacity(model, one.kind),
    );
  const orders: LayerOrder[] = [];
  for (;;) {
    const chain = buildSmallestFitChain(model, remaining);
    if (chain === undefined) return orders;
    orders.push(...chain);
    const used = new Set(chain.map(({ id }) => id));
    remaining = remaining.filter(({ id }) => !used.has(id));
  }
}

/**
 * Builds one chain from the largest engines. Its last part goes to the smallest engine that covers all
 * remaining layers.
 */
function buildSmallestFitChain(
  model: PipelineModel,
  engines: readonly PlacementCandidate[],
): readonly LayerOrder[] | undefined {
  const orders: LayerOrder[] = [];
  const remaining = [...engines];
  let from = 0;
  while (from < model.layers) {
    const missing = model.layers - from;
    const covering = remaining.findLastIndex(
      ({ kind }) => computeLayerCapacity(model, kind) >= missing,
    );
    const [engine] = remaining.splice(Math.max(0, covering), 1);
    if (engine === undefined) return undefined;
    const to = Math.min(model.layers, from + computeLayerCapacity(model, engine.kind));
    orders.push({ id: engine.id, layers: { from, to } });
    from = to;
  }
  return orders;
}
