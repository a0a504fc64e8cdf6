/** Ends a request whose caller disconnected and cancels its work on every stage. */

import { addressRoute } from './addressRoute';
import { endRequest } from './endRequest';
import type { RequestId } from './request';
import type { Router, RouterDecision } from './router';

/**
 * @param router the router
 * @param request the request; has no effect if it has ended
 */
export function cancelRequest(router: Router, request: RequestId): RouterDecision {
  const running = router.requests.get(request);
  if (running === undefined) return { state: router, effects: [] };
  const route = addressRoute(router.configuration, running.route);
  return endRequest(router, running, [
    { type: 'cancel-stream', request, attempt: running.attempt, route },
    { type: 'clear-timer', timer: `stall/${request}` },
    { type: 'clear-timer', timer: `kv/${request}` },
    { type: 'count', counter: 'callers_left', by: 1 },
  ]);
}
