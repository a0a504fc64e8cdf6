/** Adds runs up into the figures of the last line. */

import { createFindings, type Findings } from './findings';
import type { SoakRun } from './runSoak';

/** Figures over all runs; `unknownRate` is the share of calls whose last answer was unknown. */
export function summarizeSoak(
  runs: readonly SoakRun[],
): Findings & { readonly seeds: number; readonly events: number; readonly unknownRate: number } {
  const total = createFindings();
  for (const { findings } of runs) {
    for (const key of Object.keys(total) as (keyof Findings)[]) total[key] += findings[key];
  }
  const events = runs.reduce((sum, run) => sum + run.events, 0);
  const unknownRate = total.operations === 0 ? 0 : total.unknown / total.operations;
  return { ...total, seeds: runs.length, events, unknownRate: Number(unknownRate.toFixed(4)) };
}
