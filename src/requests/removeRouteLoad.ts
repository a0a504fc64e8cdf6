/** Removes an ended stream from the load of its route's engines. */

import { updateEngineLoads } from './updateEngineLoads';
import { isAwaitingFirstToken } from './isAwaitingFirstToken';
import type { Router } from './router';
import type { RunningRequest } from './runningRequest';

/**
 * @param router the router
 * @param running the request as it was when its stream ended; has no effect if none was open
 */
export function removeRouteLoad(router: Router, running: RunningRequest): Router {
  if (running.phase !== 'streaming') return router;
  const tokens = isAwaitingFirstToken(running)
    ? running.request.prompt.length + running.deliveredBefore
    : 0;
  const engineLoads = updateEngineLoads(router.engineLoads, running.route, (load) => ({
    ...load,
    running: load.running - 1,
    prefillTokens: load.prefillTokens - tokens,
  }));
  return { ...router, engineLoads };
}
