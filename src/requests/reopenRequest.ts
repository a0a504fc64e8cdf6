/** Opens the next attempt of a request whose last one broke, on a repaired route. */

import type { KvExport } from '../contracts/engineContract';
import { chooseRoute } from './chooseRoute';
import { endRequest } from './endRequest';
import { openAttempt } from './openAttempt';
import { refusalOf } from './refusalOf';
import { refuse } from './refuse';
import type { Router, RouterDecision } from './router';
import type { RunningRequest } from './runningRequest';

/**
 * @param router the router
 * @param running the request, shut out from its last attempt
 * @param exports KV exports found on engines
 * @param at when, and randomness for the choice
 */
export function reopenRequest(
  router: Router,
  running: RunningRequest,
  exports: readonly KvExport[],
  at: { readonly atMs: number; readonly seed: number },
): RouterDecision {
  const route = chooseRoute(router, running);
  if (route !== undefined) return openAttempt(router, running, route, exports, at.atMs);
  const refusal = refusalOf(running, 'no-route', 'No usable engine can take the failed stage over');
  return endRequest(router, running, refuse(running.request.id, refusal));
}
