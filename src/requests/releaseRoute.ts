/** Takes a stream that ended out of the work of its route's engines. */

import { changeEngineUse } from './changeEngineUse';
import { isAwaitingFirstToken } from './isAwaitingFirstToken';
import type { Router } from './router';
import type { RunningRequest } from './runningRequest';

/**
 * @param router the router
 * @param running the request as it was when its stream ended; nothing happens where none was open
 */
export function releaseRoute(router: Router, running: RunningRequest): Router {
  if (running.phase !== 'streaming') return router;
  const tokens = isAwaitingFirstToken(running)
    ? running.request.prompt.length + running.deliveredBefore
    : 0;
  const engines = changeEngineUse(router.engines, running.route, (use) => ({
    ...use,
    running: use.running - 1,
    prefillTokens: use.prefillTokens - tokens,
  }));
  return { ...router, engines };
}
