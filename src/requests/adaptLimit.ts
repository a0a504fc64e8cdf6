/**
 * Adapts the concurrency limit of a model by proportional control on two latencies: the time to the
 * first token and the token interval. The time to the first token is not enough on its own, because
 * engines that prioritize prefill keep it short long after decoding has slowed down.
 */

import type { ModelId } from '../engines/engine';
import type { ModelLoad } from './admission';
import {
  FIRST_TOKEN_TARGET_RATIO,
  TOKEN_INTERVAL_TARGET_RATIO,
  MIN_LIMIT,
  LIMIT_GAIN,
  MIN_LIMIT_UTILIZATION,
  MAX_PRESSURE,
} from './constants';
import { computePlannedLimit } from './computePlannedLimit';
import type { Router } from './router';
import { getLatencyTargets } from './getLatencyTargets';

/** Recent mean latencies of a model, milliseconds; 0 without observations. */
export interface ObservedLatency {
  readonly firstTokenMs: number;
  readonly tokenIntervalMs: number;
}

/**
 * @param router the router
 * @param model the model
 * @param load the model's load
 * @param observed recent latencies of the model
 * @returns the load with the next limit
 */
export function adaptLimit(
  router: Router,
  model: ModelId,
  load: ModelLoad,
  observed: ObservedLatency,
): ModelLoad {
  const plannedLimit = computePlannedLimit(router, model);
  const scaled = load.limit * computePlanRatio(load.plannedLimit, plannedLimit);
  const limit = scaled * computeStep(load, computePressure(router, model, observed));
  const bounded = Math.min(router.options.maxRunning, Math.max(MIN_LIMIT, limit));
  return { ...load, plannedLimit, limit: bounded };
}

/** Ratio of the new planned limit to the old one; the limit scales with it. */
function computePlanRatio(before: number, after: number): number {
  return before > 0 ? after / before : 1;
}

/** Computes the larger ratio of a latency to its goal; 1 means that the goal is met exactly. */
function computePressure(router: Router, model: ModelId, observed: ObservedLatency): number {
  const targets = getLatencyTargets(router, model);
  return Math.max(
    observed.firstTokenMs / (FIRST_TOKEN_TARGET_RATIO * targets.firstTokenMs),
    observed.tokenIntervalMs / (TOKEN_INTERVAL_TARGET_RATIO * targets.tokenIntervalMs),
  );
}

/**
 * Computes the factor by which the limit changes. An underused limit shows nothing about the effect of
 * more requests, and a limit below the number of running requests has not taken effect yet; both stay
 * unchanged.
 */
function computeStep({ limit, running }: ModelLoad, pressure: number): number {
  const isConclusive = pressure > 1 ? running <= limit : running > limit * MIN_LIMIT_UTILIZATION;
  return isConclusive ? 1 + LIMIT_GAIN * (1 - Math.min(MAX_PRESSURE, pressure)) : 1;
}
