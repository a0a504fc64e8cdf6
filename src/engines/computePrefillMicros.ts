/** Computes the duration of prefilling a prefix on an engine. */

import type { AcceleratorKind } from './engine';

/**
 * @param kind cost figures of the accelerators
 * @param accelerators number of accelerators that share the work
 * @param layers number of layers that run
 * @param tokens length of the prefix in tokens
 * @returns microseconds
 */
export function computePrefillMicros(
  kind: AcceleratorKind,
  accelerators: number,
  layers: number,
  tokens: number,
): number {
  return (layers * tokens * kind.prefillMicrosPerToken) / accelerators;
}
