/**
 * How loaded an engine is against the rate that the plan gives it. Own streams are known exactly.
 * What the other VMs run is taken from the engine's report while that is fresh; as it ages, the
 * guess that they all do as this VM does takes its place, so that an old report that many VMs share
 * does not send them all the same way.
 */

import type { BackendServerId } from '../backendServers/backendServer';
import type { Pipeline } from '../pipelines/pipeline';
import { FAILED_FACTOR, FAILED_MS, REPORT_HALF_LIFE_MS } from './constants';
import type { EngineUse } from './engineUse';
import type { Router } from './router';

/** Rate of an engine that the plan leaves out, as a part of an even share. */
const UNPLANNED_SHARE = 0.1;

/**
 * @param router the router
 * @param pipeline the pipeline of the engine's model
 * @param engine the engine
 * @param atMs now
 * @returns streams for each token a second that the engine is planned to make
 */
export function loadOf(
  router: Router,
  pipeline: Pipeline,
  engine: BackendServerId,
  atMs: number,
): number {
  const use = router.engines.get(engine);
  const streams = use === undefined ? 0 : use.running + othersRunning(router, use, atMs);
  const evenRate = pipeline.tokensPerSecond / Math.max(1, pipeline.engines.length);
  const rate = pipeline.engineRates.get(engine) ?? evenRate * UNPLANNED_SHARE;
  const penalty = use !== undefined && hasFailed(use, atMs) ? FAILED_FACTOR : 1;
  return (penalty * (streams + 1)) / Math.max(rate, Number.MIN_VALUE);
}

/** An engine that failed of late and has brought nothing since. */
function hasFailed({ failedAtMs, servedAtMs }: EngineUse, atMs: number): boolean {
  return failedAtMs > servedAtMs && atMs - failedAtMs < FAILED_MS;
}

function othersRunning(router: Router, { running, report }: EngineUse, atMs: number): number {
  const guess = running * (router.acceptingVms - 1);
  if (report === undefined) return guess;
  const seen = Math.max(0, report.running + report.queued - report.ownRunning);
  const freshness = 0.5 ** ((atMs - report.madeAtMs) / REPORT_HALF_LIFE_MS);
  return freshness * seen + (1 - freshness) * guess;
}
