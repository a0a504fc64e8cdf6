/** Recovers every request that runs on a crashed backend server. */

import { hash32 } from '../hashing/hash32';
import { recoverRequest, type AttemptFailure } from './recoverRequest';
import type { Router, RouterDecision } from './router';
import type { RouterEffect, RouterEvent } from './routerMessage';
import type { RunningRequest } from './runningRequest';

type ServerCrashed = Extract<RouterEvent, { readonly type: 'server-crashed' }>;

export function recoverServerRequests(router: Router, event: ServerCrashed): RouterDecision {
  const failure: AttemptFailure = {
    reason: 'server-crashed',
    detail: `Backend server ${event.server} crashed`,
    failed: [event.server],
    crashed: event.server,
    ran: 'maybe',
  };
  let state = router;
  const effects: RouterEffect[] = [];
  for (const running of router.requests.values()) {
    if (!running.route.some((stage) => stage.engine === event.server)) continue;
    const at = { atMs: event.atMs, seed: hash32(running.request.id, event.seed) };
    const decision = recoverAffectedRequest(state, running, failure, at);
    state = decision.state;
    effects.push(...decision.effects);
  }
  return { state, effects };
}

/** Recovers one request; between two attempts it only excludes the server from the next one. */
function recoverAffectedRequest(
  router: Router,
  running: RunningRequest,
  failure: AttemptFailure,
  at: { readonly atMs: number; readonly seed: number },
): RouterDecision {
  if (running.phase === 'streaming') return recoverRequest(router, running, failure, at);
  const avoided = [...new Set([...running.avoided, ...failure.failed])];
  const requests = router.requests.set(running.request.id, { ...running, avoided });
  return { state: { ...router, requests }, effects: [] };
}
