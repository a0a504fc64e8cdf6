/** How many tokens a second one engine decodes at its largest batch. */

import type { AcceleratorKind, Engine } from '../engines/engine';

/** Microseconds in a second. */
const MICROS_PER_SECOND = 1_000_000;

/**
 * Work that an engine does in a second at its largest batch, in tokens times layers.
 *
 * @param engine the engine
 * @param kind its accelerators
 */
export function engineLayerTokens(
  engine: Pick<Engine, 'accelerators'>,
  kind: AcceleratorKind,
): number {
  const stepMicros = kind.decodeBaseMicros + kind.maxBatch * kind.decodeMicrosPerSequence;
  return (kind.maxBatch * engine.accelerators * MICROS_PER_SECOND) / stepMicros;
}

/**
 * Tokens a second of an engine that runs every layer it holds for each token.
 *
 * @returns 0 for an engine that holds no layers
 */
export function engineRate(engine: Engine, kind: AcceleratorKind): number {
  const layers = engine.layers.to - engine.layers.from;
  return layers <= 0 ? 0 : engineLayerTokens(engine, kind) / layers;
}
