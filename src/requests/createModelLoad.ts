/** The load of a model before its first request. */

import { Map } from 'immutable';
import type { ModelId } from '../engines/engine';
import type { ModelLoad } from './admission';
import { planLimit } from './planLimit';
import type { Router } from './router';

/**
 * @param router the router
 * @param model the model
 * @returns no requests, under the limit that the options set or the plan gives
 */
export function createModelLoad(router: Router, model: ModelId): ModelLoad {
  const plannedLimit = planLimit(router, model);
  return {
    limit: router.options.startLimit ?? Math.min(router.options.maxRunning, plannedLimit),
    plannedLimit,
    running: 0,
    runningOf: Map(),
    shares: 0,
    firstTokenMs: 0,
    firstTokens: 0,
    firstTokenSumMs: 0,
  };
}
