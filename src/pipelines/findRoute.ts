/** Finds a route through a set of engines, where no planned path fits. */

import type { BackendServerId } from '../backendServers/backendServer';
import type { Engine, LayerRange } from '../engines/engine';
import type { Route, Stage } from './route';

/**
 * Covers a range of layers with the fewest engines: always takes the one that reaches furthest, and
 * among equals the least loaded.
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
  const stages: Stage[] = [];
  for (let from = layers.from; from < layers.to;) {
    const best = findFurthest(engines, { from, to: layers.to }, loadOf);
    if (best === undefined) return undefined;
    const to = Math.min(best.layers.to, layers.to);
    stages.push({ engine: best.id, layers: { from, to } });
    from = to;
  }
  return stages;
}

function findFurthest(
  engines: readonly Engine[],
  { from, to }: LayerRange,
  loadOf: (engine: BackendServerId) => number,
): Engine | undefined {
  let best: Engine | undefined;
  let bestReach = from;
  let bestLoad = Infinity;
  for (const engine of engines) {
    const reach = Math.min(engine.layers.to, to);
    if (engine.layers.from > from || reach <= from || reach < bestReach) continue;
    const load = loadOf(engine.id);
    if (reach === bestReach && load >= bestLoad) continue;
    best = engine;
    bestReach = reach;
    bestLoad = load;
  }
  return best;
}
