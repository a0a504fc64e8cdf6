/** Steps that change what an engine holds without cutting a request. */

import type { Change, Configuration } from '../configuration/configuration';
import type { Engine, ModelId } from '../engines/engine';
import { completeSteps } from './completeSteps';
import { coverageProblems } from './coverageProblems';
import type { DraftStep, Problem } from './draft';
import { neededThroughput, servicesOf } from './neededThroughput';
import type { Precondition } from './plan';
import { wantedState } from './wantedState';

/** Sets one engine in the configuration. */
export function putEngine(engine: Engine): Change {
  return { type: 'put', kind: 'engine', key: engine.id, value: engine };
}

/**
 * Changes one engine: out of routing, drained, ordered, in again. An idle engine has nothing to
 * drain; one that becomes idle does not come in again.
 *
 * @param engine as it is
 * @param next as it is to be
 */
export function changeEngine(engine: Engine, next: Engine): readonly DraftStep[] {
  const isWorking = engine.role !== 'idle';
  const out: readonly DraftStep[] = [
    { type: 'commit', changes: [putEngine({ ...engine, role: 'idle' })] },
    { type: 'drain', backendServer: engine.id, waitMs: 0 },
  ];
  return [
    ...(isWorking ? out : []),
    { type: 'order', engine: engine.id, wanted: wantedState(next) },
    { type: 'commit', changes: [putEngine(next)] },
  ];
}

/** Finds what goes below need for these models at any stage of the steps. */
export function stagesProblems(
  configuration: Configuration,
  steps: readonly DraftStep[],
  models: readonly ModelId[],
): readonly Problem[] {
  const { stages } = completeSteps(configuration, steps);
  const problems = stages.flatMap((stage) =>
    models
      .filter((model) => servicesOf(stage, model).length > 0)
      .flatMap((model) => coverageProblems(stage, model)),
  );
  const seen = new Map(problems.map((item) => [item.problem, item]));
  return [...seen.values()];
}

/** Preconditions that keep the capacity which services need of these models. */
export function capacityNeeds(
  configuration: Configuration,
  models: readonly ModelId[],
): readonly Precondition[] {
  return [...new Set(models)].map((model) => ({
    type: 'capacity',
    model,
    tokensPerSecond: neededThroughput(configuration, model),
  }));
}
