/**
 * Computes the load of an engine relative to its planned rate. Own streams are known exactly. Streams
 * of the other VMs come from the engine's report while it is recent. As the report ages, an estimate
 * replaces it that assumes equal load on every VM; otherwise an old report that many VMs share would
 * direct all of them to the same engines.
 */

import type { BackendServerId } from '../backendServers/backendServer';
import type { Pipeline } from '../pipelines/pipeline';
import { FAILURE_LOAD_FACTOR, FAILURE_PENALTY_MS, REPORT_HALF_LIFE_MS } from './constants';
import type { EngineLoad } from './engineLoad';
import type { Router } from './router';

/** Assumed rate of an engine without a planned rate, as a fraction of an even share. */
const UNPLANNED_RATE_FRACTION = 0.1;

/**
 * @param router the router
 * @param pipeline the pipeline of the engine's model
 * @param engine the engine
 * @param atMs the current time
 * @returns streams for each token a second of the engine's planned rate
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

/** Tells whether an engine failed recently and has produced no token since. */
function hasRecentlyFailed({ failedAtMs, servedAtMs }: EngineLoad, atMs: number): boolean {
  return failedAtMs > servedAtMs && atMs - failedAtMs < FAILURE_PENALTY_MS;
}

function estimateOthersRunning(
  router: Router,
  { running, report }: EngineLoad,
  atMs: number,
): number {
  const estimate = running * (router.acceptingVms - 1);
  if (report === undefined) return estimate;
  const reported = Math.max(0, report.running + report.queued - report.ownRunning);
  const freshness = 0.5 ** ((atMs - report.reportedAtMs) / REPORT_HALF_LIFE_MS);
  return freshness * reported + (1 - freshness) * estimate;
}
