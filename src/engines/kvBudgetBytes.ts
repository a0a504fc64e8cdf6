/** Memory that an engine has left for KV cache beside its weights. */

import type { AcceleratorKind, Engine, Model } from './engine';

/** @returns bytes; 0 where the weights alone do not fit */
export function kvBudgetBytes(engine: Engine, kind: AcceleratorKind, model: Model): number {
  const weights = model.bytesPerLayer * (engine.layers.to - engine.layers.from);
  return Math.max(0, kind.memoryBytes * engine.accelerators - weights);
}
