/**
 * The placement planner against exhaustive search on a small problem, and against a relaxed upper
 * bound on a large one.
 */

import { computeServedUpperBound } from '../src/plans/placement/computeServedUpperBound';
import { placeModels } from '../src/plans/placement/placeModels';
import { scorePlacement } from '../src/plans/placement/scorePlacement';
import { searchExhaustively } from '../src/plans/placement/searchExhaustively';
import {
  createEvenPlacement,
  createLargeProblem,
  createSmallProblem,
} from '../src/plans/testing/placementProblems';
import { MS_PER_SECOND } from '../src/units';
import type { Measurement } from './measurement';

/** Measures both sizes with one seed; `ratio` is 0 where fewer failures are survived than can be. */
export const placement: Measurement = ({ seed }, print) => {
  const small = createSmallProblem(seed);
  const optimum = searchExhaustively(small);
  const achieved = scorePlacement(small, placeModels(small, { seed }));
  const baseline = scorePlacement(small, createEvenPlacement(small));
  print(
    `small: ${achieved.survivedLosses} of ${optimum.survivedLosses} survivals, by hand ${baseline.survivedLosses}`,
  );
  const large = createLargeProblem(seed);
  const startMs = performance.now();
  const placed = placeModels(large, { seed });
  const largeSeconds = (performance.now() - startMs) / MS_PER_SECOND;
  const largeScore = scorePlacement(large, placed);
  const even = scorePlacement(large, createEvenPlacement(large));
  const most = large.models.length * 9;
  print(`large: ${largeScore.survivedLosses} of ${most} survivals, by hand ${even.survivedLosses}`);
  const bound = computeServedUpperBound(large);
  return Promise.resolve({
    optimum: optimum.served,
    achieved: achieved.served,
    ratio:
      achieved.survivedLosses === optimum.survivedLosses
        ? ratioOf(achieved.served, optimum.served)
        : 0,
    baseline: baseline.served,
    survivals: achieved.survivedLosses,
    optimumSurvivals: optimum.survivedLosses,
    largeRatio: largeScore.served / bound,
    largeBaselineRatio: even.served / bound,
    largeSurvivals: largeScore.survivedLosses,
    largeSeconds,
  });
};

/** 1 where there is nothing to serve. */
function ratioOf(achieved: number, optimum: number): number {
  return optimum === 0 ? 1 : achieved / optimum;
}
