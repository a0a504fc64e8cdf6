/**
 * Multiplies the known speeds of engines by random factors, so that choices made at the same moment spread
 * over all engines in proportion to their speed instead of all taking the fastest one. Streams that lose the
 * same engine are read again by their new engines at the same moment, and wait for each other there.
 */

import type { ChainEngine } from './layerEngine';

/** Smallest factor; without it, single engines would seem to cost nothing. */
const MIN_FACTOR = 0.001;

/**
 * @param engines engines in any order
 * @param width 0 leaves the speeds as they are; 1 draws exponentially distributed factors
 * @param random uniform in [0, 1)
 */
export function jitterSpeeds(
  engines: readonly ChainEngine[],
  width: number,
  random: () => number,
): readonly ChainEngine[] {
  return engines.map((engine) => {
    // The least of several costs with exponential factors is each one with the inverse of its cost as odds.
    const factor = Math.max(MIN_FACTOR, -Math.log(1 - random())) ** width;
    return { ...engine, layerStepMs: engine.layerStepMs * factor };
  });
}
