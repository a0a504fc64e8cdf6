/** Computes the duration of one decode step on an engine. */

import type { AcceleratorKind } from './engine';

/**
 * @param kind cost figures of the accelerators
 * @param accelerators number of accelerators that share the work
 * @param layers number of layers that the step runs
 * @param batch number of sequences in the step
 * @returns microseconds
 */
export function computeDecodeStepMicros(
  kind: AcceleratorKind,
  accelerators: number,
  layers: number,
  batch: number,
): number {
  return (layers * (kind.decodeBaseMicros + batch * kind.decodeMicrosPerSequence)) / accelerators;
}
