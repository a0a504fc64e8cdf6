/** Opens the stream of a request's current attempt on a route. */

import type { KvExport } from '../contracts/engineContract';
import type { Route } from '../pipelines/route';
import { addressRoute } from './addressRoute';
import { STALL_CHECK_MS } from './constants';
import { listTokens } from './listTokens';
import type { Router, RouterDecision } from './router';
import type { RunningRequest } from './runningRequest';

/**
 * @param router the router
 * @param running the request, with its attempt already raised
 * @param route the route of this attempt
 * @param exports KV exports that its stages may import
 * @param atMs now
 */
export function openAttempt(
  router: Router,
  running: RunningRequest,
  route: Route,
  exports: readonly KvExport[],
  atMs: number,
): RouterDecision {
  const { request } = running;
  const opened: RunningRequest = {
    ...running,
    phase: 'streaming',
    route,
    deliveredBefore: running.deliveredCount,
    openedAtMs: atMs,
    progressAtMs: atMs,
  };
  const order = {
    request: request.id,
    workspace: request.workspace,
    attempt: running.attempt,
    model: running.model,
    route: addressRoute(router.configuration, route, exports),
    prompt: request.prompt,
    delivered: listTokens(running.delivered, running.deliveredCount),
    maxTokens: request.maxTokens,
    priority: request.priority,
  };
  return {
    state: { ...router, requests: router.requests.set(request.id, opened) },
    effects: [
      { type: 'open-stream', order },
      { type: 'set-timer', timer: `stall/${request.id}`, afterMs: STALL_CHECK_MS },
    ],
  };
}
