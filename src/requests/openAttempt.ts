/** Opens the stream of a request's current attempt on a route. */

import type { AddressedStage } from '../contracts/engineContract';
import type { Route } from '../pipelines/route';
import { STALL_CHECK_MS } from './constants';
import { listTokens } from './listTokens';
import { addRouteLoad } from './addRouteLoad';
import type { Router, RouterDecision } from './router';
import type { RunningRequest } from './runningRequest';

/**
 * @param router the router
 * @param running the request, with its attempt number already incremented
 * @param route the route of this attempt
 * @param addressed the same route with addresses and KV imports
 * @param atMs the current time
 */
export function openAttempt(
  router: Router,
  running: RunningRequest,
  route: Route,
  addressed: readonly AddressedStage[],
  atMs: number,
): RouterDecision {
  const { request } = running;
  const opened: RunningRequest = {
    ...running,
    phase: 'streaming',
    isQueryingStages: false,
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
    route: addressed,
    prompt: request.prompt,
    delivered: listTokens(running.delivered, running.deliveredCount),
    maxTokens: request.maxTokens,
    priority: request.priority,
  };
  return {
    state: { ...addRouteLoad(router, opened), requests: router.requests.set(request.id, opened) },
    effects: [
      { type: 'open-stream', order },
      { type: 'set-timer', timer: `stall/${request.id}`, afterMs: STALL_CHECK_MS },
    ],
  };
}
