/**
 * Random runs of operators and holders over a table that loses replies: how many plans end
 * half-applied, and how many orders are taken from a holder after its successor's first.
 */

import { runRandomPlans, type RandomRunResult } from '../src/plans/testing/runRandomPlans';
import type { Measurement } from './measurement';

/** Seeds run from the given one on. */
const RUNS = 200;

/** Measures random runs of the plans side. */
export const plansFaults: Measurement = ({ seed }, print) => {
  const runs = Array.from({ length: RUNS }, (_item, index) => runRandomPlans(seed + index));
  runs.forEach((run, index) => {
    if (run.violations.length > 0) print(`seed ${seed + index}: ${run.violations.join('; ')}`);
  });
  const sum = (pick: (run: RandomRunResult) => number): number =>
    runs.reduce((total, run) => total + pick(run), 0);
  return Promise.resolve({
    runs: RUNS,
    violations: sum((run) => run.violations.length),
    lateOrders: sum((run) => run.staleOrders),
    confirmed: sum((run) => run.confirmed),
    done: sum((run) => run.done),
    undone: sum((run) => run.undone),
    orders: sum((run) => run.orders),
  });
};
