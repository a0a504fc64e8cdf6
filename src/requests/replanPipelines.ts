/**
 * Replans routes after a change of configuration or health. A model whose planning input is unchanged
 * keeps its plan, because planning solves a linear program, which blocks the node.
 */

import type { Engine, ModelId } from '../engines/engine';
import type { PipelineInput } from '../pipelines/pipelineInput';
import { createPipelineKey } from '../pipelines/createPipelineKey';
import type { Pipeline } from '../pipelines/pipeline';
import { planPipeline } from '../pipelines/planPipeline';
import type { Router } from './router';

/** @returns the router with routes planned over the engines that may receive new work */
export function replanPipelines(router: Router): Router {
  const { configuration, workload } = router;
  const byModel = groupByModel(router);
  const links = [...configuration.link.values()].map((link) => ({
    ...link,
    bytesPerSecond: link.bytesPerSecond / Math.max(1, byModel.size),
  }));
  const pipelines = new Map<ModelId, Pipeline>();
  for (const model of configuration.model.values()) {
    const input: PipelineInput = {
      model,
      engines: byModel.get(model.id) ?? [],
      acceleratorKinds: configuration.acceleratorKind,
      failureDomainOf: (engine) => configuration.backendServer.get(engine)?.failureDomain ?? '',
      weightOf: (engine) => router.health.get(engine)?.weight ?? 1,
      links,
      workload,
    };
    const current = router.pipelines.get(model.id);
    const isCurrent = current?.key === createPipelineKey(input);
    pipelines.set(model.id, isCurrent ? current : planPipeline(input));
  }
  return { ...router, pipelines };
}

function groupByModel(router: Router): ReadonlyMap<ModelId, readonly Engine[]> {
  const byModel = new Map<ModelId, Engine[]>();
  for (const engine of router.configuration.engine.values()) {
    if (!isUsable(engine, router)) continue;
    const list = byModel.get(engine.model) ?? [];
    list.push(engine);
    byModel.set(engine.model, list);
  }
  return byModel;
}

function isUsable(engine: Engine, { configuration, health, failedDomains }: Router): boolean {
  const server = configuration.backendServer.get(engine.id);
  if (server === undefined || server.leaving) return false;
  if (failedDomains.has(server.failureDomain)) return false;
  if (engine.role === 'idle' || engine.role === 'prefill') return false;
  return health.get(engine.id)?.isUsable ?? true;
}
