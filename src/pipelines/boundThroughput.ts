/**
 * The most tokens a second that a model's engines and links can make: the maximum flow of the
 * pipeline, with every engine at its largest batch. Nothing can be faster, whatever the router does.
 */

import type { Fleet } from './fleet';
import { groupEngines } from './groupEngines';
import { solveFlow } from './solveFlow';

/** @returns tokens a second; 0 where no chain of engines holds every layer */
export function boundThroughput(fleet: Fleet): number {
  let rate = 0;
  for (const { edge, tokensPerSecond } of solveFlow(fleet, groupEngines(fleet))) {
    if (edge.type === 'run' && edge.layers.from === 0) rate += tokensPerSecond;
  }
  return rate;
}
