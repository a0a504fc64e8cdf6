/** Ends a request: its final answer goes to the caller, and nothing more is kept of it. */

import { releaseRoute } from './releaseRoute';
import type { RouterDecision, Router } from './router';
import type { RouterEffect } from './routerMessage';
import type { RunningRequest } from './runningRequest';

/**
 * @param router the router
 * @param running the request
 * @param effects what its end causes, the final answer included
 */
export function endRequest(
  router: Router,
  running: RunningRequest,
  effects: readonly RouterEffect[],
): RouterDecision {
  const requests = router.requests.delete(running.request.id);
  return { state: { ...releaseRoute(router, running), requests }, effects };
}
