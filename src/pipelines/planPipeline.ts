/** Plans the paths of a model's requests as the decomposition of its maximum flow. */

import type { BackendServerId } from '../backendServers/backendServer';
import { decomposeFlow, type ClassStage } from './decomposeFlow';
import type { EngineClass } from './engineClass';
import { findCuts } from './findCuts';
import type { Fleet } from './fleet';
import { fleetKey } from './fleetKey';
import { groupEngines } from './groupEngines';
import type { Pipeline, PlannedPath, PlannedStage } from './pipeline';
import { solveFlow } from './solveFlow';

/** Cuts inside the model that one plan considers; keeps the linear program small. */
const MAX_CUTS = 8;

/** Part of a token's worth that one more stage has to bring in throughput. */
const HOP_COST = 0.03;

/**
 * @param fleet the model and what its engines and links can do
 * @returns paths in the order in which the flow was cut; none where some layer is held by no engine
 */
export function planPipeline(fleet: Fleet): Pipeline {
  const { model, engines } = fleet;
  const cuts = findCuts(fleet, MAX_CUTS);
  const classes = groupEngines(fleet, cuts);
  const flows = solveFlow(fleet, classes, cuts, HOP_COST);
  const paths = decomposeFlow(flows, classes, model.layers).map(
    ({ stages, tokensPerSecond }): PlannedPath => ({
      stages: stages.map((stage) => planStage(stage, classes)),
      tokensPerSecond,
    }),
  );
  const cumulativeRates = sumRates(paths);
  return {
    key: fleetKey(fleet),
    model: model.id,
    layers: model.layers,
    engines,
    paths,
    cumulativeRates,
    engineRates: rateEngines(paths),
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

function sumRates(paths: readonly PlannedPath[]): readonly number[] {
  let sum = 0;
  return paths.map(({ tokensPerSecond }) => (sum += tokensPerSecond));
}

function rateEngines(paths: readonly PlannedPath[]): ReadonlyMap<BackendServerId, number> {
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
