/** Counts a stream that opens among the work of its route's engines. */

import { changeEngineUse } from './changeEngineUse';
import type { Router } from './router';
import type { RunningRequest } from './runningRequest';

/**
 * @param router the router
 * @param running the request, with the route of the attempt that opens
 */
export function occupyRoute(router: Router, running: RunningRequest): Router {
  const tokens = prefillTokensOf(running);
  const engines = changeEngineUse(router.engines, running.route, (use) => ({
    ...use,
    running: use.running + 1,
    prefillTokens: use.prefillTokens + tokens,
  }));
  return { ...router, engines };
}

function prefillTokensOf(running: RunningRequest): number {
  return running.request.prompt.length + running.deliveredBefore;
}
