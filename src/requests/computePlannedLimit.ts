/**
 * Computes the concurrency limit of a model on one VM from the plan. With more concurrent requests than
 * the planned rate times the token interval, tokens would miss their target interval (Little's law:
 * Little, Operations Research 9(3), 1961). The limit therefore follows the failure of an engine or VM
 * before latencies rise.
 */

import type { ModelId } from '../engines/engine';
import { MS_PER_SECOND } from '../units';
import { TOKEN_INTERVAL_TARGET_RATIO, MIN_LIMIT } from './constants';
import type { Router } from './router';
import { getLatencyTargets } from './getLatencyTargets';

/**
 * @param router the router
 * @param model the model
 * @returns the maximum number of concurrent requests
 */
export function computePlannedLimit(router: Router, model: ModelId): number {
  const rate = router.pipelines.get(model)?.tokensPerSecond ?? 0;
  const goalMs = TOKEN_INTERVAL_TARGET_RATIO * getLatencyTargets(router, model).tokenIntervalMs;
  const planned = (rate * goalMs) / MS_PER_SECOND / router.acceptingVms;
  return Math.max(MIN_LIMIT, planned);
}
