/** Opens the next attempt once the engines have said what KV cache they kept. */

import { reopenRequest } from './reopenRequest';
import type { Router, RouterDecision } from './router';
import type { RouterEvent } from './routerMessage';

type KvFound = Extract<RouterEvent, { readonly type: 'kv-found' }>;

/** Handles the answer to `find-kv`; one that comes late changes nothing. */
export function receiveKv(router: Router, event: KvFound): RouterDecision {
  const running = router.requests.get(event.request);
  const isAwaited = running?.phase === 'finding-kv' && running.attempt === event.attempt;
  if (!isAwaited) return { state: router, effects: [] };
  const exports = event.exports.filter((item) => item.request === event.request);
  const reopened = reopenRequest(router, running, exports, event);
  const timer = `kv/${event.request}`;
  return { state: reopened.state, effects: [{ type: 'clear-timer', timer }, ...reopened.effects] };
}
