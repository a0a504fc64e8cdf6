/** Creates the load of a model before its first request. */

import { Map } from 'immutable';
import type { ModelId } from '../engines/engine';
import type { ModelLoad } from './admission';
import { computePlannedLimit } from './computePlannedLimit';
import type { Router } from './router';

/**
 * @param router the router
 * @param model the model
 * @returns a load without requests, limited by the options or else by the plan
 */
export function createModelLoad(router: Router, model: ModelId): ModelLoad {
  const plannedLimit = computePlannedLimit(router, model);
  return {
    limit: router.options.initialLimit ?? Math.min(router.options.maxRunning, plannedLimit),
    plannedLimit,
    running: 0,
    runningByWorkspace: Map(),
    shareSum: 0,
    firstTokenMs: 0,
    firstTokenCount: 0,
    firstTokenSumMs: 0,
  };
}
