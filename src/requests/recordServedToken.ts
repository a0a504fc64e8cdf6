/** Records that the engines of a route produced a token. */

import { updateEngineLoads } from './updateEngineLoads';
import { SERVED_RESOLUTION_MS } from './constants';
import { isAwaitingFirstToken } from './isAwaitingFirstToken';
import type { Router } from './router';
import type { RunningRequest } from './runningRequest';

/**
 * @param router the router
 * @param running the request before the token
 * @param atMs time of the token's arrival
 */
export function recordServedToken(router: Router, running: RunningRequest, atMs: number): Router {
  const isFirst = isAwaitingFirstToken(running);
  const tokens = isFirst ? running.request.prompt.length + running.deliveredBefore : 0;
  const engineLoads = updateEngineLoads(router.engineLoads, running.route, (load) => {
    if (!isFirst && atMs - load.servedAtMs < SERVED_RESOLUTION_MS) return load;
    return { ...load, prefillTokens: load.prefillTokens - tokens, servedAtMs: atMs };
  });
  return engineLoads === router.engineLoads ? router : { ...router, engineLoads };
}
