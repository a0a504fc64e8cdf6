/** Plans the paths of a model's requests by decomposing its maximum flow. */

import type { BackendServerId } from '../backendServers/backendServer';
import { decomposeFlow, type ClassStage } from './decomposeFlow';
import type { EngineClass } from './engineClass';
import { findLayerBoundaries } from './findLayerBoundaries';
import type { PipelineInput } from './pipelineInput';
import { createPipelineKey } from './createPipelineKey';
import { groupEngines } from './groupEngines';
import type { Pipeline, PlannedPath, PlannedStage } from './pipeline';
import { solveFlow } from './solveFlow';

/** Maximum number of inner layer boundaries in a plan; keeps the linear program small. */
const MAX_BOUNDARIES = 8;

/** Minimum relative gain in throughput that justifies an additional stage. */
const HOP_COST = 0.03;

/**
 * @param input the model and the capacity of its engines and links
 * @returns paths in the order of the flow decomposition; none if the engines do not hold every layer
 */
export function planPipeline(input: PipelineInput): Pipeline {
  const { model, engines } = input;
  const boundaries = findLayerBoundaries(input, MAX_BOUNDARIES);
  const classes = groupEngines(input, boundaries);
  const flows = solveFlow(input, classes, boundaries, HOP_COST);
  const paths = decomposeFlow(flows, classes, model.layers).map(
    ({ stages, tokensPerSecond }): PlannedPath => ({
      stages: stages.map((stage) => planStage(stage, classes)),
      tokensPerSecond,
    }),
  );
  const cumulativeRates = accumulateRates(paths);
  return {
    key: createPipelineKey(input),
    model: model.id,
    layers: model.layers,
    engines,
    paths,
    cumulativeRates,
    engineRates: computeEngineRates(paths),
    tokensPerSecond: cumulativeRates.at(-1) ?? 0,
  };
}

function planStage(stage: ClassStage, classes: readonly EngineClass[]): PlannedStage {
  const { members = [], tokenLayersPerSecond = 1 } = classes[stage.class] ?? {};
  let sum = 0;
  return {
    engines: members.map((member) => member.engine),
    cumulativeShares: members.map(
      (member) => (sum += member.tokenLayersPerSecond / tokenLayersPerSecond),
    ),
    layers: stage.layers,
  };
}

function accumulateRates(paths: readonly PlannedPath[]): readonly number[] {
  let sum = 0;
  return paths.map(({ tokensPerSecond }) => (sum += tokensPerSecond));
}

function computeEngineRates(paths: readonly PlannedPath[]): ReadonlyMap<BackendServerId, number> {
  const rates = new Map<BackendServerId, number>();
  for (const { stages, tokensPerSecond } of paths) {
    for (const { engines, cumulativeShares } of stages) {
      let before = 0;
      engines.forEach((engine, index) => {
        const upTo = cumulativeShares[index] ?? before;
        rates.set(engine, (rates.get(engine) ?? 0) + (upTo - before) * tokensPerSecond);
        before = upTo;
      });
    }
  }
  return rates;
}
