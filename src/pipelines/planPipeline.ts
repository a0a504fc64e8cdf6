/** Plans the paths of a model's requests as the decomposition of its maximum flow. */

import type { BackendServerId } from '../backendServers/backendServer';
import { decomposeFlow } from './decomposeFlow';
import type { Fleet } from './fleet';
import { groupEngines } from './groupEngines';
import type { Pipeline, PlannedPath } from './pipeline';
import { solveFlow } from './solveFlow';

/**
 * @param fleet the model and what its engines and links can do
 * @returns paths in the order in which the flow was cut; none where some layer is held by no engine
 */
export function planPipeline(fleet: Fleet): Pipeline {
  const { model, engines } = fleet;
  const classes = groupEngines(fleet);
  const flows = solveFlow(fleet, classes);
  const paths = decomposeFlow(flows, classes, model.layers).map(
    ({ stages, tokensPerSecond }): PlannedPath => ({
      stages: stages.map((stage) => ({
        engines: classes[stage.class]?.engines ?? [],
        layers: stage.layers,
      })),
      tokensPerSecond,
    }),
  );
  const cumulativeRates = sumRates(paths);
  return {
    model: model.id,
    layers: model.layers,
    engines,
    paths,
    cumulativeRates,
    engineRates: rateEngines(paths),
    tokensPerSecond: cumulativeRates.at(-1) ?? 0,
  };
}

function sumRates(paths: readonly PlannedPath[]): readonly number[] {
  let sum = 0;
  return paths.map(({ tokensPerSecond }) => (sum += tokensPerSecond));
}

function rateEngines(paths: readonly PlannedPath[]): ReadonlyMap<BackendServerId, number> {
  const rates = new Map<BackendServerId, number>();
  for (const { stages, tokensPerSecond } of paths) {
    for (const { engines } of stages) {
      const share = tokensPerSecond / engines.length;
      for (const engine of engines) rates.set(engine, (rates.get(engine) ?? 0) + share);
    }
  }
  return rates;
}
