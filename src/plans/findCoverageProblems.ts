/** Finds why a model cannot serve what its services need, with a remedy for each problem. */

import type { Configuration } from '../configuration/configuration';
import type { LayerRange, ModelId } from '../engines/engine';
import type { Problem } from './draft';
import { computeNeededThroughput } from './computeNeededThroughput';
import { predictModelThroughput, listRoutableEngines } from './predictModelThroughput';

/**
 * Checks the layer coverage and the throughput of a model.
 *
 * @returns no problems if the model serves what its services need
 */
export function findCoverageProblems(
  configuration: Configuration,
  model: ModelId,
): readonly Problem[] {
  const gaps = findUncoveredLayers(configuration, model);
  if (gaps.length > 0) return gaps.map((gap) => createGapProblem(model, gap));
  const needed = computeNeededThroughput(configuration, model);
  const predicted = predictModelThroughput(configuration, model);
  if (predicted >= needed) return [];
  const missing = Math.ceil(needed - predicted);
  return [
    {
      problem: `Model ${model} would reach ${Math.floor(predicted)} tokens/s and its services need ${Math.ceil(needed)}`,
      remedy: `Add or move engines for another ${missing} tokens/s on the thinnest layers, or lower neededTokensPerSecond`,
    },
  ];
}

function createGapProblem(model: ModelId, gap: LayerRange): Problem {
  return {
    problem: `No engine holds layers ${gap.from} to ${gap.to - 1} of model ${model}`,
    remedy: `Add an engine with these layers (add-backend-server), or move one to them (move-model)`,
  };
}

/** Lists the layers of a model that no routable engine holds, as ranges in order. */
export function findUncoveredLayers(
  configuration: Configuration,
  model: ModelId,
): readonly LayerRange[] {
  const total = configuration.model.get(model)?.layers ?? 0;
  const held = listRoutableEngines(configuration, model)
    .map((engine) => engine.layers)
    .sort((one, other) => one.from - other.from);
  const gaps: LayerRange[] = [];
  let covered = 0;
  for (const range of held) {
    if (range.from > covered) gaps.push({ from: covered, to: range.from });
    covered = Math.max(covered, range.to);
  }
  if (covered < total) gaps.push({ from: covered, to: total });
  return gaps;
}
