/** A model of 80 layers on four kinds of engines, for tests. */

import type { PipelineModel } from './pipelineModel';

export const testModel: PipelineModel = {
  name: 'dense',
  layers: 80,
  layerMb: 1_750,
  tokenLayerMb: 0.010567,
  stepMs: 0.85,
  meanPromptTokens: 772,
  meanAnswerTokens: 167,
  loadMs: 14_000,
  domainDelayMs: 0.62,
  activationBytes: 42_268,
  domainBytesPerMs: 1_625_000,
  kinds: new Map(
    [
      { name: 'h100', memoryMb: 72_000, stepFactor: 1.4 },
      { name: 'a100s', memoryMb: 36_000, stepFactor: 3.1 },
      { name: 'l4', memoryMb: 21_600, stepFactor: 16 },
      { name: 't4', memoryMb: 14_400, stepFactor: 15 },
    ].map((kind) => [kind.name, kind]),
  ),
};
