/** Finds why an engine cannot hold the layers assigned to it. */

import type { Configuration } from '../configuration/configuration';
import type { Engine } from '../engines/engine';
import type { Problem } from './draft';

/** Share of an engine's memory that stays free for the KV cache. */
export const KV_MEMORY_SHARE = 0.1;

/** Bytes in a gigabyte, as memory is written in messages. */
const BYTES_PER_GB = 1e9;

/**
 * Checks the accelerators, the model, the layers and the memory of an engine.
 *
 * @returns no problems if its accelerators, model and layers are known and its memory is sufficient
 */
export function findEngineProblems(
  configuration: Configuration,
  engine: Engine,
): readonly Problem[] {
  const kind = configuration.acceleratorKind.get(engine.acceleratorKind);
  const model = configuration.model.get(engine.model);
  if (kind === undefined)
    return [createUnknownNameProblem('accelerator kind', engine.acceleratorKind)];
  if (model === undefined) return [createUnknownNameProblem('model', engine.model)];
  const { from, to } = engine.layers;
  if (from < 0 || to > model.layers || from >= to) {
    return [
      {
        problem: `Engine ${engine.id} cannot hold layers ${from} to ${to - 1}: model ${model.id} has ${model.layers}`,
        remedy: `Give layers with 0 <= from < to <= ${model.layers}`,
      },
    ];
  }
  const memory = kind.memoryBytes * engine.accelerators * (1 - KV_MEMORY_SHARE);
  const maxLayers = Math.floor(memory / model.bytesPerLayer);
  if (to - from <= maxLayers) return [];
  return [
    {
      problem: `Engine ${engine.id} has memory for ${maxLayers} layers of model ${model.id}, not ${to - from} (${formatGigabytes((to - from) * model.bytesPerLayer)} GB in ${formatGigabytes(memory)} GB)`,
      remedy: `Give it at most ${maxLayers} layers, or more accelerators`,
    },
  ];
}

/** Describes a name that the configuration does not contain. */
export function createUnknownNameProblem(kind: string, name: string): Problem {
  return {
    problem: `There is no ${kind} ${name}`,
    remedy: `Correct the name, or add the ${kind} first`,
  };
}

function formatGigabytes(bytes: number): string {
  return (bytes / BYTES_PER_GB).toFixed(1);
}
