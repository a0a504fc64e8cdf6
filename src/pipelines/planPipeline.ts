/** Plans the routes of a model over the engines that may get new work. */

import type { Engine, Model } from '../engines/engine';
import { createPipeline } from './createPipeline';
import { findRoute } from './findRoute';
import type { Pipeline } from './pipeline';

/**
 * @param model the model
 * @param engines engines of the model that may get new work
 */
export function planPipeline(model: Model, engines: readonly Engine[]): Pipeline {
  const route = findRoute(engines, model.layers);
  const routes = route === undefined ? [] : [{ route, tokensPerSecond: 1 }];
  return createPipeline(model, engines, routes);
}
