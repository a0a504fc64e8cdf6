/**
 * How many requests of a model one VM may run by the plan alone: with more at once than the planned
 * rate times the token interval, tokens would come later than the target (Little's law: Little,
 * Operations Research 9(3), 1961). So a lost engine or VM moves the limit before anything gets slow.
 */

import type { ModelId } from '../engines/engine';
import { MS_PER_SECOND } from '../units';
import { INTERVAL_GOAL, LIMIT_FLOOR } from './constants';
import type { Router } from './router';
import { targetsOf } from './targetsOf';

/**
 * @param router the router
 * @param model the model
 * @returns requests at once
 */
export function planLimit(router: Router, model: ModelId): number {
  const rate = router.pipelines.get(model)?.tokensPerSecond ?? 0;
  const goalMs = INTERVAL_GOAL * targetsOf(router, model).tokenIntervalMs;
  const planned = (rate * goalMs) / MS_PER_SECOND / router.acceptingVms;
  return Math.max(LIMIT_FLOOR, planned);
}
