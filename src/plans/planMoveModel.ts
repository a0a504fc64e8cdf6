/** Plans moving a model from some engines to others: the new ones work before the old ones stop. */

import type { Configuration } from '../configuration/configuration';
import type { Engine, LayerRange, ModelId } from '../engines/engine';
import type { Draft, DraftStep, Impossible, Problem } from './draft';
import { engineProblems, unknownName } from './engineProblems';
import { capacityNeeds, changeEngine, putEngine, stagesProblems } from './engineSteps';
import type { Intent } from './intent';
import { unchanged } from './preconditionOn';
import { spreadLayers } from './spreadLayers';

type MoveModel = Extract<Intent, { readonly type: 'move-model' }>;

/**
 * Plans `move-model`. Each target is taken out of routing, drained, loaded and taken in, one after
 * the other; only then do the sources leave routing. Targets that are idle go first.
 */
export function planMoveModel(configuration: Configuration, intent: MoveModel): Draft | Impossible {
  const missing = [...intent.from, ...intent.to].filter((id) => !configuration.engine.has(id));
  if (missing.length > 0) {
    return { type: 'impossible', problems: missing.map((id) => unknownName('engine', id)) };
  }
  const sources = intent.from.flatMap((id) => configuration.engine.get(id) ?? []);
  const targets = intent.to.flatMap((id) => configuration.engine.get(id) ?? []);
  const wrong = sourceProblems(intent.model, sources, targets);
  if (wrong.length > 0) return { type: 'impossible', problems: wrong };
  const nexts = loadTargets(configuration, sources, targets);
  if (nexts === undefined) return { type: 'impossible', problems: [tooSmall(intent)] };
  return draftMove(configuration, intent, sources, targets, nexts);
}

function draftMove(
  configuration: Configuration,
  intent: MoveModel,
  sources: readonly Engine[],
  targets: readonly Engine[],
  nexts: readonly Engine[],
): Draft | Impossible {
  const pairs = targets.map((target, index) => ({ target, next: nexts[index] ?? target }));
  const idleFirst = [...pairs].sort((one, other) => busy(one.target) - busy(other.target));
  const steps: readonly DraftStep[] = [
    ...idleFirst.flatMap(({ target, next }) => changeEngine(target, next)),
    ...sources.flatMap((source): DraftStep[] => [
      { type: 'commit', changes: [putEngine({ ...source, role: 'idle' })] },
      { type: 'drain', backendServer: source.id, waitMs: 0 },
    ]),
  ];
  const models = [intent.model, ...targets.map((target) => target.model)];
  const problems = [
    ...nexts.flatMap((next) => engineProblems(configuration, next)),
    ...stagesProblems(configuration, steps, models),
  ];
  if (problems.length > 0) return { type: 'impossible', problems };
  const touched = [...intent.from, ...intent.to];
  return {
    type: 'draft',
    summary: `Move model ${intent.model} from ${intent.from.join(', ')} to ${intent.to.join(', ')}`,
    preconditions: [
      unchanged(configuration, 'model', intent.model),
      ...touched.map((id) => unchanged(configuration, 'engine', id)),
      ...capacityNeeds(configuration, models),
    ],
    steps,
    risks: targets.filter(busy).map(({ id, model }) => `${id} gives up its layers of ${model}`),
    rejected: [
      'Stopping the old engines first: the model would be below its capacity while the new ones load',
      'Loading all new engines at once: those in use would leave their model together',
    ],
  };
}

/** 1 where the engine gets work, else 0. */
function busy(engine: Engine): number {
  return engine.role === 'idle' ? 0 : 1;
}

function sourceProblems(
  model: ModelId,
  sources: readonly Engine[],
  targets: readonly Engine[],
): readonly Problem[] {
  const others = sources.filter((source) => source.model !== model);
  const problems = others.map(({ id, model: held }) => ({
    problem: `Engine ${id} holds model ${held}, not ${model}`,
    remedy: `Name only engines that hold ${model} under from`,
  }));
  const both = targets.filter((target) => sources.some(({ id }) => id === target.id));
  const doubled = both.map(({ id }) => ({
    problem: `Engine ${id} is named under from and to`,
    remedy: 'Name it once',
  }));
  if (sources.length === 0 || targets.length === 0) {
    const remedy = 'Name at least one engine under from and one under to';
    return [...problems, { problem: 'There is nothing to move', remedy }];
  }
  return [...problems, ...doubled];
}

/** Gives each target its layers: its partner's where the counts match and fit, else a new cut. */
function loadTargets(
  configuration: Configuration,
  sources: readonly Engine[],
  targets: readonly Engine[],
): readonly Engine[] | undefined {
  const paired = targets.map((target, index) => takeOver(target, sources[index] ?? sources[0]));
  const fits = paired.every((next) => engineProblems(configuration, next).length === 0);
  if (sources.length === targets.length && fits) return paired;
  const whole: LayerRange = {
    from: Math.min(...sources.map(({ layers }) => layers.from)),
    to: Math.max(...sources.map(({ layers }) => layers.to)),
  };
  const ranges = spreadLayers(configuration, sources[0]?.model ?? '', whole, targets);
  return ranges?.map((layers, index) => ({
    ...takeOver(targets[index] ?? targets[0], sources[0]),
    layers,
  }));
}

function takeOver(target: Engine | undefined, source: Engine | undefined): Engine {
  if (target === undefined || source === undefined) throw new RangeError('No engine to pair');
  const { id, acceleratorKind, accelerators, uplinkBytesPerSecond } = target;
  return { ...source, id, acceleratorKind, accelerators, uplinkBytesPerSecond };
}

function tooSmall({ model, to }: MoveModel): Problem {
  return {
    problem: `${to.join(', ')} have not enough memory for the layers of model ${model}`,
    remedy: 'Name more engines under to, or ones with more accelerators',
  };
}
