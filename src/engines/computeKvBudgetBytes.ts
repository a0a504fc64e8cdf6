/** Computes the memory of an engine that its weights leave for the KV cache. */

import type { AcceleratorKind, Engine, Model } from './engine';

/** @returns bytes; 0 if the weights alone do not fit */
export function computeKvBudgetBytes(engine: Engine, kind: AcceleratorKind, model: Model): number {
  const weightBytes = model.bytesPerLayer * (engine.layers.to - engine.layers.from);
  return Math.max(0, kind.memoryBytes * engine.accelerators - weightBytes);
}
