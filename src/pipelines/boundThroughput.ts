/**
 * The most tokens a second that a model's engines and links can make: the maximum flow of the
 * pipeline, with every engine at its largest batch. Nothing can be faster, whatever the router does.
 */

import { findCuts } from './findCuts';
import type { Fleet } from './fleet';
import { groupEngines } from './groupEngines';
import { solveFlow } from './solveFlow';

/** @returns tokens a second; 0 where no chain of engines holds every layer */
export function boundThroughput(fleet: Fleet): number {
  let rate = 0;
  const cuts = findCuts(fleet);
  const flows = solveFlow(fleet, groupEngines(fleet, cuts), cuts, 0);
  for (const { edge, tokensPerSecond } of flows) {
    if (edge.type === 'run' && edge.layers.from === 0) rate += tokensPerSecond;
  }
  return rate;
}
