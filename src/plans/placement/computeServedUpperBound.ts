/** Computes an upper bound on the throughput of any placement, from the total work of all engines. */

import type { PlacementProblem } from './placement';

/**
 * Ignores the limits of memory, links, layer boundaries and failure domains: any amount of work can go to
 * any model. Models with the fewest layers produce the most tokens per unit of work and go first.
 *
 * @returns tokens a second, summed over the models up to their demand
 */
export function computeServedUpperBound({ models, engines }: PlacementProblem): number {
  let remainingWork = engines.reduce((sum, { layerTokens }) => sum + layerTokens, 0);
  let served = 0;
  for (const { demand, layers } of [...models].sort((one, other) => one.layers - other.layers)) {
    const tokens = Math.min(demand, remainingWork / layers);
    served += tokens;
    remainingWork -= tokens * layers;
  }
  return served;
}
