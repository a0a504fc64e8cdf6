/** Time of one decode step on an engine. */

import type { AcceleratorKind } from './engine';

/**
 * @param kind cost figures of the accelerators
 * @param accelerators how many share the work
 * @param layers layers that the step runs
 * @param batch sequences in the step
 * @returns microseconds
 */
export function decodeStepMicros(
  kind: AcceleratorKind,
  accelerators: number,
  layers: number,
  batch: number,
): number {
  return (layers * (kind.decodeBaseMicros + batch * kind.decodeMicrosPerSequence)) / accelerators;
}
