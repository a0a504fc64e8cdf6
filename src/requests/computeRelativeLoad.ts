/**
 * Computes the load of an engine relative to its planned rate. The number of this VM's own streams is
 * exact. The number of the other VMs' streams is a weighted mean of the engine's last report and an
 * estimate that assumes equal load on every VM. The weight of the report decreases with its age;
 * otherwise many VMs would use the same old report and all choose the same engines.
 */

import type { BackendServerId } from '../backendServers/backendServer';
import type { Pipeline } from '../pipelines/pipeline';
import { FAILURE_LOAD_FACTOR, FAILURE_PENALTY_MS, REPORT_HALF_LIFE_MS } from './constants';
import type { EngineLoad } from './engineLoad';
import type { Router } from './router';

/**
 * Assumed rate of an engine without a planned rate, as a fraction of the pipeline's rate divided by its
 * number of engines.
 */
const UNPLANNED_RATE_FRACTION = 0.1;

/**
 * @param pipeline the pipeline of the engine's model
 * @param atMs the current time
 * @returns open streams plus one, divided by the engine's planned rate in tokens per second; multiplied
 *   by `FAILURE_LOAD_FACTOR` if the engine failed recently
 */
export function computeRelativeLoad(
  router: Router,
  pipeline: Pipeline,
  engine: BackendServerId,
  atMs: number,
): number {
  const load = router.engineLoads.get(engine);
  const streams = load === undefined ? 0 : load.running + estimateOthersRunning(router, load, atMs);
  const evenRate = pipeline.tokensPerSecond / Math.max(1, pipeline.engines.length);
  const rate = pipeline.engineRates.get(engine) ?? evenRate * UNPLANNED_RATE_FRACTION;
  const penalty = load !== undefined && hasRecentlyFailed(load, atMs) ? FAILURE_LOAD_FACTOR : 1;
  return (penalty * (streams + 1)) / Math.max(rate, Number.MIN_VALUE);
}

/** Returns whether an engine failed recently and has produced no token since. */
function hasRecentlyFailed({ failedAtMs, servedAtMs }: EngineLoad, atMs: number): boolean {
  return failedAtMs > servedAtMs && atMs - failedAtMs < FAILURE_PENALTY_MS;
}

/** Estimates the number of streams that the other VMs have on an engine. */
function estimateOthersRunning(
  router: Router,
  { running, report }: EngineLoad,
  atMs: number,
): number {
  const estimate = running * (router.acceptingVms - 1);
  if (report === undefined) return estimate;
  const reported = Math.max(0, report.running + report.queued - report.ownRunning);
  const reportWeight = 0.5 ** ((atMs - report.reportedAtMs) / REPORT_HALF_LIFE_MS);
  return reportWeight * reported + (1 - reportWeight) * estimate;
}
