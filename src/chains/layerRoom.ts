/** How many layers an engine can hold beside its requests. */

import type { PipelineModel } from './pipelineModel';

/** Requests of usual size that every engine of a chain has room for beside its layers. */
const RESERVED_REQUESTS = 64;

/** Tokens that an engine must leave room for. */
function reservedTokens(model: PipelineModel): number {
  return RESERVED_REQUESTS * (model.usualPromptTokens + model.usualAnswerTokens);
}

/** Layers that an engine can hold beside the reserved room; 0 for a kind that is not known. */
export function layerRoom(model: PipelineModel, kind: string): number {
  const memoryMb = model.kinds.get(kind)?.memoryMb ?? 0;
  const perLayerMb = model.layerMb + model.tokenLayerMb * reservedTokens(model);
  const room = Math.floor(memoryMb / perLayerMb);
  const bare = memoryMb > model.layerMb * 2 ? 1 : 0;
  return Math.min(model.layers, Math.max(room, bare));
}
