/** Makes a failing plan smaller by dropping faults that the failure does not need. */

import { failures } from './findings';
import { runSoak, type SoakRun } from './runSoak';
import type { Fault, SoakPlan } from './soakItem';
import type { BreakSides } from './soakWorld';

/** Runs that shrinking may take, where none are named. */
const MAX_RUNS = 60;

export interface ShrunkRun {
  readonly plan: SoakPlan;
  readonly run: SoakRun;
}

/**
 * Drops halves, quarters and so on of the faults while the run still fails.
 *
 * @param plan one that fails
 */
export function shrinkSoak(plan: SoakPlan, breakSides?: BreakSides, maxRuns = MAX_RUNS): ShrunkRun {
  let best: ShrunkRun = { plan, run: runSoak(plan, breakSides) };
  let runs = 0;
  let size = Math.ceil(plan.faults.length / 2);
  while (size >= 1 && runs < maxRuns) {
    let hasShrunk = false;
    for (let from = 0; from < best.plan.faults.length && runs < maxRuns;) {
      const candidate = { ...best.plan, faults: without(best.plan.faults, from, size) };
      const run = runSoak(candidate, breakSides);
      runs += 1;
      if (hasFailed(run)) {
        best = { plan: candidate, run };
        hasShrunk = true;
      } else from += size;
    }
    if (size === 1 && !hasShrunk) break;
    size = size === 1 ? 1 : Math.ceil(size / 2);
  }
  return best;
}

/** Whether a run found anything that must not be. */
export function hasFailed({ findings }: SoakRun): boolean {
  return failures.some((failure) => findings[failure] > 0);
}

function without(faults: readonly Fault[], from: number, size: number): readonly Fault[] {
  return [...faults.slice(0, from), ...faults.slice(from + size)];
}
