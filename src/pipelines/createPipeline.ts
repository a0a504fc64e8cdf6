/** Gathers planned routes into a pipeline that a route can be drawn from quickly. */

import type { BackendServerId } from '../backendServers/backendServer';
import type { Engine, Model } from '../engines/engine';
import type { Pipeline, PlannedRoute } from './pipeline';

/**
 * @param model the model
 * @param engines engines of the model that may get new work
 * @param routes planned routes; each covers every layer of the model
 */
export function createPipeline(
  model: Model,
  engines: readonly Engine[],
  routes: readonly PlannedRoute[],
): Pipeline {
  const cumulativeRates: number[] = [];
  const engineRates = new Map<BackendServerId, number>();
  let sum = 0;
  for (const { route, tokensPerSecond } of routes) {
    sum += tokensPerSecond;
    cumulativeRates.push(sum);
    for (const { engine } of route) {
      engineRates.set(engine, (engineRates.get(engine) ?? 0) + tokensPerSecond);
    }
  }
  return {
    model: model.id,
    layers: model.layers,
    engines,
    routes,
    cumulativeRates,
    engineRates,
    tokensPerSecond: sum,
  };
}
