/** Finds any route through a set of engines; the last resort where no planned route is left. */

import type { Engine } from '../engines/engine';
import type { Route, Stage } from './route';

/**
 * Covers `[0, layers)` with the fewest engines, always taking the one that reaches furthest.
 *
 * @param engines engines of one model that may be used, in order of preference among equals
 * @param layers layers of the model
 * @param from first layer to cover
 * @returns the route, or undefined where some layer is held by none of them
 */
export function findRoute(engines: readonly Engine[], layers: number, from = 0): Route | undefined {
  const stages: Stage[] = [];
  for (let next = from; next < layers;) {
    const best = findFurthest(engines, next);
    if (best === undefined) return undefined;
    const to = Math.min(best.layers.to, layers);
    stages.push({ engine: best.id, layers: { from: next, to } });
    next = to;
  }
  return stages;
}

function findFurthest(engines: readonly Engine[], layer: number): Engine | undefined {
  let best: Engine | undefined;
  for (const engine of engines) {
    if (engine.layers.from > layer || engine.layers.to <= layer) continue;
    if (best === undefined || engine.layers.to > best.layers.to) best = engine;
  }
  return best;
}
