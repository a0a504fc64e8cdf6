/** Plans replacing an engine that is lost: nothing is asked of it, because it does not answer. */

import type { Configuration } from '../configuration/configuration';
import type { Engine } from '../engines/engine';
import type { Draft, Impossible, Problem } from './draft';
import { engineProblems, unknownName } from './engineProblems';
import { engineRate } from './engineRate';
import { changeEngine, putEngine } from './engineSteps';
import type { Intent } from './intent';
import { unchanged } from './preconditionOn';

type ReplaceEngine = Extract<Intent, { readonly type: 'replace-engine' }>;

/** Plans `replace-engine`: the idle engine is loaded and taken in, the lost one is taken out. */
export function planReplaceEngine(
  configuration: Configuration,
  intent: ReplaceEngine,
): Draft | Impossible {
  const lost = configuration.engine.get(intent.lost);
  const by = configuration.engine.get(intent.by);
  if (lost === undefined || by === undefined) {
    const missing = lost === undefined ? intent.lost : intent.by;
    return { type: 'impossible', problems: [unknownName('engine', missing)] };
  }
  const next = takeOver(by, lost);
  const problems = [...busyProblems(by), ...engineProblems(configuration, next)];
  if (problems.length > 0) return { type: 'impossible', problems };
  const kind = configuration.acceleratorKind.get(next.acceleratorKind);
  const restored = kind === undefined ? 0 : Math.floor(engineRate(next, kind));
  const { from, to } = lost.layers;
  return {
    type: 'draft',
    summary: `Replace ${lost.id} by ${by.id} for layers ${from} to ${to - 1} of model ${lost.model}; restores up to ${restored} tokens/s on them`,
    preconditions: [
      unchanged(configuration, 'engine', lost.id),
      unchanged(configuration, 'engine', by.id),
      unchanged(configuration, 'model', lost.model),
    ],
    steps: [
      ...changeEngine(by, next),
      { type: 'commit', changes: [putEngine({ ...lost, role: 'idle' })] },
    ],
    risks: [
      `The figures before the change still count ${lost.id}, which serves nothing while it is lost`,
    ],
    rejected: [`Waiting for ${lost.id}: its layers stay thinner until it is back`],
  };
}

/** The engine `by` with the layers and the role of `lost`. */
export function takeOver(by: Engine, lost: Engine): Engine {
  const { id, acceleratorKind, accelerators, uplinkBytesPerSecond } = by;
  return { ...lost, id, acceleratorKind, accelerators, uplinkBytesPerSecond };
}

function busyProblems(by: Engine): readonly Problem[] {
  if (by.role === 'idle') return [];
  const remedy = 'Name an idle engine, or move the model with move-model';
  return [{ problem: `Engine ${by.id} is at work for model ${by.model}`, remedy }];
}
