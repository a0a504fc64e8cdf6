/** Computes the decoding rate of one engine at its largest batch. */

import type { AcceleratorKind, Engine } from '../engines/engine';

/** Microseconds in a second. */
const MICROS_PER_SECOND = 1_000_000;

/**
 * Computes the work that an engine does in a second at its largest batch, in tokens times layers.
 *
 * @param engine the engine
 * @param kind its accelerators
 */
export function computeEngineLayerRate(
  engine: Pick<Engine, 'accelerators'>,
  kind: AcceleratorKind,
): number {
  const stepMicros = kind.decodeBaseMicros + kind.maxBatch * kind.decodeMicrosPerSequence;
  return (kind.maxBatch * engine.accelerators * MICROS_PER_SECOND) / stepMicros;
}

/**
 * Computes the tokens a second of an engine that runs every layer it holds for each token.
 *
 * @returns 0 for an engine that holds no layers
 */
export function computeEngineRate(engine: Engine, kind: AcceleratorKind): number {
  const layers = engine.layers.to - engine.layers.from;
  return layers <= 0 ? 0 : computeEngineLayerRate(engine, kind) / layers;
}
