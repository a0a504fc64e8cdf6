/** Builds steps that change an engine's state without aborting requests. */

import type { Change, Configuration } from '../configuration/configuration';
import type { Engine, ModelId } from '../engines/engine';
import { completeSteps } from './completeSteps';
import { findCoverageProblems } from './findCoverageProblems';
import type { DraftStep, Problem } from './draft';
import { computeNeededThroughput, listModelServices } from './computeNeededThroughput';
import type { Precondition } from './plan';
import { getWantedState } from './getWantedState';

/** Returns the change that stores an engine in the configuration. */
export function createEngineChange(engine: Engine): Change {
  return { type: 'put', kind: 'engine', key: engine.id, value: engine };
}

/**
 * Builds the steps that change one engine: remove it from routing, drain it, order the new state,
 * and route to it again. An idle engine needs no drain, and an engine that becomes idle is not
 * routed to again.
 *
 * @param engine the current engine
 * @param next the wanted engine
 */
export function createEngineSteps(engine: Engine, next: Engine): readonly DraftStep[] {
  const isWorking = engine.role !== 'idle';
  const removal: readonly DraftStep[] = [
    { type: 'commit', changes: [createEngineChange({ ...engine, role: 'idle' })] },
    { type: 'drain', backendServer: engine.id, waitMs: 0 },
  ];
  return [
    ...(isWorking ? removal : []),
    { type: 'order', engine: engine.id, wanted: getWantedState(next) },
    { type: 'commit', changes: [createEngineChange(next)] },
  ];
}

/**
 * Finds models whose throughput falls below the need of their services at any stage of the steps.
 */
export function findStageProblems(
  configuration: Configuration,
  steps: readonly DraftStep[],
  models: readonly ModelId[],
): readonly Problem[] {
  const { stages } = completeSteps(configuration, steps);
  const problems = stages.flatMap((stage) =>
    models
      .filter((model) => listModelServices(stage, model).length > 0)
      .flatMap((model) => findCoverageProblems(stage, model)),
  );
  const uniqueProblems = new Map(problems.map((item) => [item.problem, item]));
  return [...uniqueProblems.values()];
}

/** Creates preconditions that keep the capacity that services need of these models. */
export function createCapacityPreconditions(
  configuration: Configuration,
  models: readonly ModelId[],
): readonly Precondition[] {
  return [...new Set(models)].map((model) => ({
    type: 'capacity',
    model,
    tokensPerSecond: computeNeededThroughput(configuration, model),
  }));
}
