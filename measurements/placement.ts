/**
 * The placement planner against exhaustive search on a small problem, and against a relaxed upper
 * bound on a large one.
 */

import { boundPlacement } from '../src/plans/placement/boundPlacement';
import { placeModels } from '../src/plans/placement/placeModels';
import { scorePlacement } from '../src/plans/placement/scorePlacement';
import { searchPlacement } from '../src/plans/placement/searchPlacement';
import { evenPlacement, largeProblem, smallProblem } from '../src/plans/testing/placementProblems';
import { MS_PER_SECOND } from '../src/units';
import type { Measurement } from './measurement';

/** Measures both sizes with one seed; `ratio` is 0 where fewer failures are survived than can be. */
export const placement: Measurement = ({ seed }, print) => {
  const small = smallProblem(seed);
  const optimum = searchPlacement(small);
  const achieved = scorePlacement(small, placeModels(small, { seed }));
  const baseline = scorePlacement(small, evenPlacement(small));
  print(
    `small: ${achieved.survivals} of ${optimum.survivals} survivals, by hand ${baseline.survivals}`,
  );
  const large = largeProblem(seed);
  const startMs = performance.now();
  const placed = placeModels(large, { seed });
  const largeSeconds = (performance.now() - startMs) / MS_PER_SECOND;
  const largeScore = scorePlacement(large, placed);
  const even = scorePlacement(large, evenPlacement(large));
  const most = large.models.length * 9;
  print(`large: ${largeScore.survivals} of ${most} survivals, by hand ${even.survivals}`);
  const bound = boundPlacement(large);
  return Promise.resolve({
    optimum: optimum.served,
    achieved: achieved.served,
    ratio: achieved.survivals === optimum.survivals ? ratioOf(achieved.served, optimum.served) : 0,
    baseline: baseline.served,
    survivals: achieved.survivals,
    optimumSurvivals: optimum.survivals,
    largeRatio: largeScore.served / bound,
    largeBaselineRatio: even.served / bound,
    largeSurvivals: largeScore.survivals,
    largeSeconds,
  });
};

/** 1 where there is nothing to serve. */
function ratioOf(achieved: number, optimum: number): number {
  return optimum === 0 ? 1 : achieved / optimum;
}
