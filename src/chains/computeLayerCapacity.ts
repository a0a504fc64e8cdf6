/** Computes how many layers fit on an engine beside the memory for its requests. */

import type { PipelineModel } from './pipelineModel';

/** Requests of mean size for which every engine of a chain keeps memory free. */
const RESERVED_REQUESTS = 64;

/** Tokens for which an engine keeps memory free. */
function countReservedTokens(model: PipelineModel): number {
  return RESERVED_REQUESTS * (model.meanPromptTokens + model.meanAnswerTokens);
}

/** Number of layers that fit beside the reserved memory; 0 for an unknown kind. */
export function computeLayerCapacity(model: PipelineModel, kind: string): number {
  const memoryMb = model.kinds.get(kind)?.memoryMb ?? 0;
  const perLayerMb = model.layerMb + model.tokenLayerMb * countReservedTokens(model);
  const fitting = Math.floor(memoryMb / perLayerMb);
  const minimum = memoryMb > model.layerMb * 2 ? 1 : 0;
  return Math.min(model.layers, Math.max(fitting, minimum));
}
