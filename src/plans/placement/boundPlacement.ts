/** An upper bound on what any placement can serve, from the work that all engines do together. */

import type { PlacementProblem } from './placement';

/**
 * Relaxes memory, links, whole layers and failure domains: work can be given to any model in any
 * amount. The models with the fewest layers make the most tokens of it and go first.
 *
 * @returns tokens a second, summed over the models up to their demand
 */
export function boundPlacement({ models, engines }: PlacementProblem): number {
  let work = engines.reduce((sum, { layerTokens }) => sum + layerTokens, 0);
  let served = 0;
  for (const { demand, layers } of [...models].sort((one, other) => one.layers - other.layers)) {
    const tokens = Math.min(demand, work / layers);
    served += tokens;
    work -= tokens * layers;
  }
  return served;
}
