/** Plans a change of an engine's role, adapter or model version. */

import type { Configuration } from '../configuration/configuration';
import type { Engine } from '../engines/engine';
import type { Draft, Impossible } from './draft';
import { createCapacityPreconditions, createEngineSteps, findStageProblems } from './engineSteps';
import { createUnknownNameProblem } from './findEngineProblems';
import type { Intent } from './intent';
import { requireUnchanged } from './objectPreconditions';

type SetEngine = Extract<Intent, { readonly type: 'set-engine' }>;

/** Plans `set-engine`: the engine is removed from routing, drained, changed and routed to again. */
export function planSetEngine(configuration: Configuration, intent: SetEngine): Draft | Impossible {
  const engine = configuration.engine.get(intent.engine);
  if (engine === undefined) {
    return { type: 'impossible', problems: [createUnknownNameProblem('engine', intent.engine)] };
  }
  const { role, modelVersion, adapter } = intent;
  const next: Engine = {
    ...engine,
    ...(role === undefined ? {} : { role }),
    ...(modelVersion === undefined ? {} : { modelVersion }),
    ...(adapter === undefined ? {} : { adapter }),
  };
  const steps = createEngineSteps(engine, next);
  const problems = findStageProblems(configuration, steps, [engine.model]);
  if (problems.length > 0) return { type: 'impossible', problems };
  return {
    type: 'draft',
    summary: `Set engine ${engine.id} to ${describeChanges(intent)}`,
    preconditions: [
      requireUnchanged(configuration, 'engine', engine.id),
      requireUnchanged(configuration, 'backendServer', engine.id),
      ...createCapacityPreconditions(configuration, [engine.model]),
    ],
    steps,
    risks: [],
    rejected: ['Changing it while it works: the requests that run on it would be cut'],
  };
}

function describeChanges({ role, modelVersion, adapter }: SetEngine): string {
  const parts = { role, 'model version': modelVersion, adapter };
  return Object.entries(parts)
    .flatMap(([name, value]) => (value === undefined ? [] : [`${name} ${value}`]))
    .join(', ');
}
