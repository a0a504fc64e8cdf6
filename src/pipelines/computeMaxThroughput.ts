/**
 * Computes the maximum throughput of a model's engines and links: the maximum flow of the pipeline with
 * every engine at its largest batch. It is an upper bound for any routing policy.
 */

import { findLayerBoundaries } from './findLayerBoundaries';
import type { PipelineInput } from './pipelineInput';
import { groupEngines } from './groupEngines';
import { solveFlow } from './solveFlow';

/** @returns tokens a second; 0 if no chain of engines holds every layer */
export function computeMaxThroughput(input: PipelineInput): number {
  let rate = 0;
  const boundaries = findLayerBoundaries(input);
  const flows = solveFlow(input, groupEngines(input, boundaries), boundaries, 0);
  for (const { edge, tokensPerSecond } of flows) {
    if (edge.type === 'run' && edge.layers.from === 0) rate += tokensPerSecond;
  }
  return rate;
}
