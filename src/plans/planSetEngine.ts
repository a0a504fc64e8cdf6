/** Plans changing an engine's role, adapter or model version. */

import type { Configuration } from '../configuration/configuration';
import type { Engine } from '../engines/engine';
import type { Draft, Impossible } from './draft';
import { capacityNeeds, changeEngine, stagesProblems } from './engineSteps';
import { unknownName } from './engineProblems';
import type { Intent } from './intent';
import { unchanged } from './preconditionOn';

type SetEngine = Extract<Intent, { readonly type: 'set-engine' }>;

/** Plans `set-engine`: out of routing, drained, ordered, and in again. */
export function planSetEngine(configuration: Configuration, intent: SetEngine): Draft | Impossible {
  const engine = configuration.engine.get(intent.engine);
  if (engine === undefined) {
    return { type: 'impossible', problems: [unknownName('engine', intent.engine)] };
  }
  const { role, modelVersion, adapter } = intent;
  const next: Engine = {
    ...engine,
    ...(role === undefined ? {} : { role }),
    ...(modelVersion === undefined ? {} : { modelVersion }),
    ...(adapter === undefined ? {} : { adapter }),
  };
  const steps = changeEngine(engine, next);
  const problems = stagesProblems(configuration, steps, [engine.model]);
  if (problems.length > 0) return { type: 'impossible', problems };
  return {
    type: 'draft',
    summary: `Set engine ${engine.id} to ${describe(intent)}`,
    preconditions: [
      unchanged(configuration, 'engine', engine.id),
      unchanged(configuration, 'backendServer', engine.id),
      ...capacityNeeds(configuration, [engine.model]),
    ],
    steps,
    risks: [],
    rejected: ['Changing it while it works: the requests that run on it would be cut'],
  };
}

function describe({ role, modelVersion, adapter }: SetEngine): string {
  const parts = { role, 'model version': modelVersion, adapter };
  return Object.entries(parts)
    .flatMap(([name, value]) => (value === undefined ? [] : [`${name} ${value}`]))
    .join(', ');
}
