/** Finds a route through a set of engines when no planned path is usable. */

import type { BackendServerId } from '../backendServers/backendServer';
import type { Engine, LayerRange } from '../engines/engine';
import type { Route, Stage } from './route';

/** The cheapest chain found so far that covers the layers up to a boundary. */
interface Chain {
  readonly cost: number;
  readonly last: Stage | undefined;
  readonly before: Chain | undefined;
}

/** An engine with its precomputed load. */
interface WeightedEngine {
  readonly engine: Engine;
  readonly load: number;
}

/**
 * Covers a range of layers with the chain of engines that has the lowest total load. This is a shortest
 * path over the layer boundaries; the graph is acyclic, so one pass in ascending order finds it. Every
 * stage adds its load, so a shorter chain is preferred unless its engines are busy.
 *
 * @param engines engines of one model that may be used
 * @param layers the layers to cover
 * @param loadOf returns the load of an engine; only compared with other loads
 * @returns the route, or undefined if the engines do not hold every layer
 */
export function findRoute(
  engines: readonly Engine[],
  layers: LayerRange,
  loadOf: (engine: BackendServerId) => number,
): Route | undefined {
  const weightedEngines = engines.map((engine) => ({ engine, load: loadOf(engine.id) }));
  const chains = new Map<number, Chain>();
  chains.set(layers.from, { cost: 0, last: undefined, before: undefined });
  for (const boundary of listBoundaries(engines, layers)) {
    const chain = chains.get(boundary);
    if (chain !== undefined)
      extendChain(chains, chain, { from: boundary, to: layers.to }, weightedEngines);
  }
  return listStages(chains.get(layers.to));
}

/** Lists the layers at which a stage may begin, in ascending order. */
function listBoundaries(engines: readonly Engine[], { from, to }: LayerRange): readonly number[] {
  const ends = engines.map((engine) => engine.layers.to).filter((end) => end > from && end < to);
  return [from, ...new Set(ends)].sort((a, b) => a - b);
}

function extendChain(
  chains: Map<number, Chain>,
  before: Chain,
  { from, to }: LayerRange,
  weightedEngines: readonly WeightedEngine[],
): void {
  for (const { engine, load } of weightedEngines) {
    if (engine.layers.from > from || engine.layers.to <= from) continue;
    const end = Math.min(engine.layers.to, to);
    const cost = before.cost + load;
    if (cost >= (chains.get(end)?.cost ?? Infinity)) continue;
    const last = { engine: engine.id, layers: { from, to: end } };
    chains.set(end, { cost, last, before });
  }
}

function listStages(chain: Chain | undefined): Route | undefined {
  if (chain === undefined) return undefined;
  const stages: Stage[] = [];
  for (
    let current: Chain | undefined = chain;
    current?.last !== undefined;
    current = current.before
  ) {
    stages.push(current.last);
  }
  return stages.reverse();
}
