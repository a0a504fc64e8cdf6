/** Recovers every request that runs on a backend server which crashed. */

import { hash32 } from '../hashing/hash32';
import { recoverRequest, type Break } from './recoverRequest';
import type { Router, RouterDecision } from './router';
import type { RouterEffect, RouterEvent } from './routerMessage';
import type { RunningRequest } from './runningRequest';

type ServerCrashed = Extract<RouterEvent, { readonly type: 'server-crashed' }>;

export function recoverServer(router: Router, event: ServerCrashed): RouterDecision {
  const broke: Break = {
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
    const decision = recoverFrom(state, running, broke, at);
    state = decision.state;
    effects.push(...decision.effects);
  }
  return { state, effects };
}

/** A request that is between two attempts only leaves the server out of the next one. */
function recoverFrom(
  router: Router,
  running: RunningRequest,
  broke: Break,
  at: { readonly atMs: number; readonly seed: number },
): RouterDecision {
  if (running.phase === 'streaming') return recoverRequest(router, running, broke, at);
  const avoided = [...new Set([...running.avoided, ...broke.failed])];
  const requests = router.requests.set(running.request.id, { ...running, avoided });
  return { state: { ...router, requests }, effects: [] };
}
