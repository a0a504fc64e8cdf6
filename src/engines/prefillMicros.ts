/** Time to run a prefix on an engine. */

import type { AcceleratorKind } from './engine';

/**
 * @param kind cost figures of the accelerators
 * @param accelerators how many share the work
 * @param layers layers that run
 * @param tokens length of the prefix
 * @returns microseconds
 */
export function prefillMicros(
  kind: AcceleratorKind,
  accelerators: number,
  layers: number,
  tokens: number,
): number {
  return (layers * tokens * kind.prefillMicrosPerToken) / accelerators;
}
