/** Notes on the engines of a route that a token came back from them. */

import { changeEngineUse } from './changeEngineUse';
import { SERVED_STEP_MS } from './constants';
import { isAwaitingFirstToken } from './isAwaitingFirstToken';
import type { Router } from './router';
import type { RunningRequest } from './runningRequest';

/**
 * @param router the router
 * @param running the request before the token
 * @param atMs when the token came
 */
export function serveRoute(router: Router, running: RunningRequest, atMs: number): Router {
  const isFirst = isAwaitingFirstToken(running);
  const tokens = isFirst ? running.request.prompt.length + running.deliveredBefore : 0;
  const engines = changeEngineUse(router.engines, running.route, (use) => {
    if (!isFirst && atMs - use.servedAtMs < SERVED_STEP_MS) return use;
    return { ...use, prefillTokens: use.prefillTokens - tokens, servedAtMs: atMs };
  });
  return engines === router.engines ? router : { ...router, engines };
}
