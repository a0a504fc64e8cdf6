/** Finds a route through a set of engines, where no planned path fits. */

import type { BackendServerId } from '../backendServers/backendServer';
import type { Engine, LayerRange } from '../engines/engine';
import type { Route, Stage } from './route';

/** The cheapest chain found so far that covers the layers up to a cut. */
interface Chain {
  readonly cost: number;
  readonly last: Stage | undefined;
  readonly before: Chain | undefined;
}

/** An engine with its load, worked out once. */
interface Offer {
  readonly engine: Engine;
  readonly load: number;
}

/**
 * Covers a range of layers by the chain of engines whose loads have the least sum: a shortest path
 * over the layer cuts, which all lead onward, so that one pass in their order finds it. One more stage
 * adds its load; so a short chain wins unless its engines are busy.
 *
 * @param engines engines of one model that may be used
 * @param layers the layers to cover
 * @param loadOf load of an engine; compared only with that of others
 * @returns the route, or undefined where some layer is held by none of them
 */
export function findRoute(
  engines: readonly Engine[],
  layers: LayerRange,
  loadOf: (engine: BackendServerId) => number,
): Route | undefined {
  const offers = engines.map((engine) => ({ engine, load: loadOf(engine.id) }));
  const chains = new Map<number, Chain>();
  chains.set(layers.from, { cost: 0, last: undefined, before: undefined });
  for (const cut of listCuts(engines, layers)) {
    const chain = chains.get(cut);
    if (chain !== undefined) extend(chains, chain, { from: cut, to: layers.to }, offers);
  }
  return listStages(chains.get(layers.to));
}

/** Where a stage may begin, in order. */
function listCuts(engines: readonly Engine[], { from, to }: LayerRange): readonly number[] {
  const ends = engines.map((engine) => engine.layers.to).filter((end) => end > from && end < to);
  return [from, ...new Set(ends)].sort((a, b) => a - b);
}

function extend(
  chains: Map<number, Chain>,
  before: Chain,
  { from, to }: LayerRange,
  offers: readonly Offer[],
): void {
  for (const { engine, load } of offers) {
    if (engine.layers.from > from || engine.layers.to <= from) continue;
    const reach = Math.min(engine.layers.to, to);
    const cost = before.cost + load;
    if (cost >= (chains.get(reach)?.cost ?? Infinity)) continue;
    const last = { engine: engine.id, layers: { from, to: reach } };
    chains.set(reach, { cost, last, before });
  }
}

function listStages(chain: Chain | undefined): Route | undefined {
  if (chain === undefined) return undefined;
  const stages: Stage[] = [];
  for (let at: Chain | undefined = chain; at?.last !== undefined; at = at.before) {
    stages.push(at.last);
  }
  return stages.reverse();
}
