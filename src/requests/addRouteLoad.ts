/** Adds an opened stream to the load of its route's engines. */

import { updateEngineLoads } from './updateEngineLoads';
import type { Router } from './router';
import type { RunningRequest } from './runningRequest';

/**
 * @param router the router
 * @param running the request, with the route of the opened attempt
 */
export function addRouteLoad(router: Router, running: RunningRequest): Router {
  const tokens = countPrefillTokens(running);
  const engineLoads = updateEngineLoads(router.engineLoads, running.route, (load) => ({
    ...load,
    running: load.running + 1,
    prefillTokens: load.prefillTokens + tokens,
  }));
  return { ...router, engineLoads };
}

function countPrefillTokens(running: RunningRequest): number {
  return running.request.prompt.length + running.deliveredBefore;
}
