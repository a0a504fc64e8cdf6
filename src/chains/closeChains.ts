/** Lays out the first placement: whole chains, within a failure domain where they close there. */

import { layerRoom } from './layerRoom';
import type { PipelineModel } from './pipelineModel';
import type { LayerOrder, PlacementCandidate } from './placementCandidate';

/** Closes as many chains as fit, in each failure domain, then over what is left. */
export function closeChains(
  model: PipelineModel,
  engines: readonly PlacementCandidate[],
): readonly LayerOrder[] {
  const domains = [...new Set(engines.map(({ failureDomain }) => failureDomain))].sort();
  const orders: LayerOrder[] = [];
  for (const domain of domains) {
    orders.push(
      ...tile(
        model,
        engines.filter(({ failureDomain }) => failureDomain === domain),
      ),
    );
  }
  const used = new Set(orders.map(({ id }) => id));
  const left = engines.filter(({ id }) => !used.has(id));
  return [...orders, ...tileAcross(model, left)];
}

/** Closes chains over several domains, each domain's engines side by side: a crossing is dear. */
function tileAcross(
  model: PipelineModel,
  engines: readonly PlacementCandidate[],
): readonly LayerOrder[] {
  const orders: LayerOrder[] = [];
  let left = [...engines]
    .filter(({ isFree, kind }) => isFree && layerRoom(model, kind) > 0)
    .sort((one, other) => (one.failureDomain < other.failureDomain ? -1 : 1));
  for (;;) {
    const chain = closeInOrder(model, left);
    if (chain === undefined) return orders;
    orders.push(...chain);
    const used = new Set(chain.map(({ id }) => id));
    left = left.filter(({ id }) => !used.has(id));
  }
}

function closeInOrder(
  model: PipelineModel,
  engines: readonly PlacementCandidate[],
): readonly LayerOrder[] | undefined {
  const orders: LayerOrder[] = [];
  let from = 0;
  for (const { id, kind } of engines) {
    const to = Math.min(model.layers, from + layerRoom(model, kind));
    orders.push({ id, layers: { from, to } });
    if (to === model.layers) return orders;
    from = to;
  }
  return undefined;
}

/** Lays engines end to end until no further chain can be closed. */
function tile(model: PipelineModel, engines: readonly PlacementCandidate[]): readonly LayerOrder[] {
  let left = engines
    .filter(({ isFree, kind }) => isFree && layerRoom(model, kind) > 0)
    .sort((one, other) => layerRoom(model, other.kind) - layerRoom(model, one.kind));
  const orders: LayerOrder[] = [];
  for (;;) {
    const chain = closeChain(model, left);
    if (chain === undefined) return orders;
    orders.push(...chain);
    const used = new Set(chain.map(({ id }) => id));
    left = left.filter(({ id }) => !used.has(id));
  }
}

/** One chain of the largest engines; its end goes to the smallest engine that covers what is left. */
function closeChain(
  model: PipelineModel,
  engines: readonly PlacementCandidate[],
): readonly LayerOrder[] | undefined {
  const orders: LayerOrder[] = [];
  const left = [...engines];
  let from = 0;
  while (from < model.layers) {
    const missing = model.layers - from;
    const covering = left.findLastIndex(({ kind }) => layerRoom(model, kind) >= missing);
    const [engine] = left.splice(Math.max(0, covering), 1);
    if (engine === undefined) return undefined;
    const to = Math.min(model.layers, from + layerRoom(model, engine.kind));
    orders.push({ id: engine.id, layers: { from, to } });
    from = to;
  }
  return orders;
}
