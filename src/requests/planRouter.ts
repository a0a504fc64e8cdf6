/** Plans every model's routes anew after a change of configuration or health. */

import type { Engine, ModelId } from '../engines/engine';
import type { Pipeline } from '../pipelines/pipeline';
import { planPipeline } from '../pipelines/planPipeline';
import type { Router } from './router';

/** @returns the router with routes planned over the engines that may get new work */
export function planRouter(router: Router): Router {
  const { configuration, health } = router;
  const usable = [...configuration.engine.values()].filter((engine) => isUsable(engine, router));
  const byModel = new Map<ModelId, Engine[]>();
  for (const engine of usable) {
    const list = byModel.get(engine.model) ?? [];
    list.push(engine);
    byModel.set(engine.model, list);
  }
  const pipelines = new Map<ModelId, Pipeline>();
  for (const model of configuration.model.values()) {
    pipelines.set(model.id, planPipeline(model, byModel.get(model.id) ?? []));
  }
  return { ...router, health, pipelines };
}

function isUsable(engine: Engine, { configuration, health }: Router): boolean {
  const server = configuration.backendServer.get(engine.id);
  if (server === undefined || server.leaving || engine.role === 'idle') return false;
  return health.get(engine.id)?.isUsable ?? true;
}
