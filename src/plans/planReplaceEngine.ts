/**
 * Plans the replacement of a failed engine. No step contacts that engine, because it does not
 * answer.
 */

import type { Configuration } from '../configuration/configuration';
import type { Engine } from '../engines/engine';
import type { Draft, Impossible, Problem } from './draft';
import { findEngineProblems, createUnknownNameProblem } from './findEngineProblems';
import { computeEngineRate } from './computeEngineRate';
import { createEngineSteps, createEngineChange } from './engineSteps';
import type { Intent } from './intent';
import { requireUnchanged } from './objectPreconditions';

type ReplaceEngine = Extract<Intent, { readonly type: 'replace-engine' }>;

/**
 * Plans `replace-engine`: the idle engine is loaded and added to routing, then the failed one is
 * removed from it.
 */
export function planReplaceEngine(
  configuration: Configuration,
  intent: ReplaceEngine,
): Draft | Impossible {
  const lost = configuration.engine.get(intent.lost);
  const by = configuration.engine.get(intent.by);
  if (lost === undefined || by === undefined) {
    const missing = lost === undefined ? intent.lost : intent.by;
    return { type: 'impossible', problems: [createUnknownNameProblem('engine', missing)] };
  }
  const next = createReplacement(by, lost);
  const problems = [...findBusyProblems(by), ...findEngineProblems(configuration, next)];
  if (problems.length > 0) return { type: 'impossible', problems };
  const kind = configuration.acceleratorKind.get(next.acceleratorKind);
  const restored = kind === undefined ? 0 : Math.floor(computeEngineRate(next, kind));
  const { from, to } = lost.layers;
  return {
    type: 'draft',
    summary: `Replace ${lost.id} by ${by.id} for layers ${from} to ${to - 1} of model ${lost.model}; restores up to ${restored} tokens/s on them`,
    preconditions: [
      requireUnchanged(configuration, 'engine', lost.id),
      requireUnchanged(configuration, 'engine', by.id),
      requireUnchanged(configuration, 'model', lost.model),
    ],
    steps: [
      ...createEngineSteps(by, next),
      { type: 'commit', changes: [createEngineChange({ ...lost, role: 'idle' })] },
    ],
    risks: [
      `The figures before the change still count ${lost.id}, which serves nothing while it is lost`,
    ],
    rejected: [`Waiting for ${lost.id}: its layers stay thinner until it is back`],
  };
}

/** Returns the engine `by` with the layers and the role of `lost`. */
export function createReplacement(by: Engine, lost: Engine): Engine {
  const { id, acceleratorKind, accelerators, uplinkBytesPerSecond } = by;
  return { ...lost, id, acceleratorKind, accelerators, uplinkBytesPerSecond };
}

function findBusyProblems(by: Engine): readonly Problem[] {
  if (by.role === 'idle') return [];
  const remedy = 'Name an idle engine, or move the model with move-model';
  return [{ problem: `Engine ${by.id} is at work for model ${by.model}`, remedy }];
}
