/** Plans the move of a model between engines. The new engines work before the old ones stop. */

import type { Configuration } from '../configuration/configuration';
import type { Engine, LayerRange, ModelId } from '../engines/engine';
import type { Draft, DraftStep, Impossible, Problem } from './draft';
import { findEngineProblems, createUnknownNameProblem } from './findEngineProblems';
import {
  createCapacityPreconditions,
  createEngineSteps,
  createEngineChange,
  findStageProblems,
} from './engineSteps';
import type { Intent } from './intent';
import { requireUnchanged } from './objectPreconditions';
import { distributeLayers } from './distributeLayers';

type MoveModel = Extract<Intent, { readonly type: 'move-model' }>;

/**
 * Plans `move-model`. Each target is removed from routing, drained, loaded and routed to again, one
 * target after the other; only then are the sources removed from routing. Idle targets go first.
 */
export function planMoveModel(configuration: Configuration, intent: MoveModel): Draft | Impossible {
  const missing = [...intent.from, ...intent.to].filter((id) => !configuration.engine.has(id));
  if (missing.length > 0) {
    return {
      type: 'impossible',
      problems: missing.map((id) => createUnknownNameProblem('engine', id)),
    };
  }
  const sources = intent.from.flatMap((id) => configuration.engine.get(id) ?? []);
  const targets = intent.to.flatMap((id) => configuration.engine.get(id) ?? []);
  const sourceProblems = findSourceProblems(intent.model, sources, targets);
  if (sourceProblems.length > 0) return { type: 'impossible', problems: sourceProblems };
  const nextTargets = assignLayers(configuration, sources, targets);
  if (nextTargets === undefined)
    return { type: 'impossible', problems: [createMemoryProblem(intent)] };
  return draftMove(configuration, intent, sources, targets, nextTargets);
}

function draftMove(
  configuration: Configuration,
  intent: MoveModel,
  sources: readonly Engine[],
  targets: readonly Engine[],
  nextTargets: readonly Engine[],
): Draft | Impossible {
  const pairs = targets.map((target, index) => ({ target, next: nextTargets[index] ?? target }));
  const idleFirst = [...pairs].sort(
    (one, other) => rankByUse(one.target) - rankByUse(other.target),
  );
  const steps: readonly DraftStep[] = [
    ...idleFirst.flatMap(({ target, next }) => createEngineSteps(target, next)),
    ...sources.flatMap((source): DraftStep[] => [
      { type: 'commit', changes: [createEngineChange({ ...source, role: 'idle' })] },
      { type: 'drain', backendServer: source.id, waitMs: 0 },
    ]),
  ];
  const models = [intent.model, ...targets.map((target) => target.model)];
  const problems = [
    ...nextTargets.flatMap((next) => findEngineProblems(configuration, next)),
    ...findStageProblems(configuration, steps, models),
  ];
  if (problems.length > 0) return { type: 'impossible', problems };
  const touched = [...intent.from, ...intent.to];
  return {
    type: 'draft',
    summary: `Move model ${intent.model} from ${intent.from.join(', ')} to ${intent.to.join(', ')}`,
    preconditions: [
      requireUnchanged(configuration, 'model', intent.model),
      ...touched.map((id) => requireUnchanged(configuration, 'engine', id)),
      ...createCapacityPreconditions(configuration, models),
    ],
    steps,
    risks: targets
      .filter(rankByUse)
      .map(({ id, model }) => `${id} gives up its layers of ${model}`),
    rejected: [
      'Stopping the old engines first: the model would be below its capacity while the new ones load',
      'Loading all new engines at once: those in use would leave their model together',
    ],
  };
}

/** Returns 1 if the engine gets work, else 0. */
function rankByUse(engine: Engine): number {
  return engine.role === 'idle' ? 0 : 1;
}

function findSourceProblems(
  model: ModelId,
  sources: readonly Engine[],
  targets: readonly Engine[],
): readonly Problem[] {
  const others = sources.filter((source) => source.model !== model);
  const problems = others.map(({ id, model: held }) => ({
    problem: `Engine ${id} holds model ${held}, not ${model}`,
    remedy: `Name only engines that hold ${model} under from`,
  }));
  const duplicates = targets.filter((target) => sources.some(({ id }) => id === target.id));
  const duplicateProblems = duplicates.map(({ id }) => ({
    problem: `Engine ${id} is named under from and to`,
    remedy: 'Name it once',
  }));
  if (sources.length === 0 || targets.length === 0) {
    const remedy = 'Name at least one engine under from and one under to';
    return [...problems, { problem: 'There is nothing to move', remedy }];
  }
  return [...problems, ...duplicateProblems];
}

/**
 * Assigns layers to each target: those of its source if the counts match and the layers fit, else a
 * new distribution of the whole range.
 */
function assignLayers(
  configuration: Configuration,
  sources: readonly Engine[],
  targets: readonly Engine[],
): readonly Engine[] | undefined {
  const paired = targets.map((target, index) =>
    createReplacement(target, sources[index] ?? sources[0]),
  );
  const fits = paired.every((next) => findEngineProblems(configuration, next).length === 0);
  if (sources.length === targets.length && fits) return paired;
  const range: LayerRange = {
    from: Math.min(...sources.map(({ layers }) => layers.from)),
    to: Math.max(...sources.map(({ layers }) => layers.to)),
  };
  const ranges = distributeLayers(configuration, sources[0]?.model ?? '', range, targets);
  return ranges?.map((layers, index) => ({
    ...createReplacement(targets[index] ?? targets[0], sources[0]),
    layers,
  }));
}

function createReplacement(target: Engine | undefined, source: Engine | undefined): Engine {
  if (target === undefined || source === undefined) throw new RangeError('No engine to pair');
  const { id, acceleratorKind, accelerators, uplinkBytesPerSecond } = target;
  return { ...source, id, acceleratorKind, accelerators, uplinkBytesPerSecond };
}

function createMemoryProblem({ model, to }: MoveModel): Problem {
  return {
    problem: `${to.join(', ')} have not enough memory for the layers of model ${model}`,
    remedy: 'Name more engines under to, or ones with more accelerators',
  };
}
