/** Opens the next attempt once the engines have said what KV cache they kept. */

import type { BackendServerId } from '../backendServers/backendServer';
import { judgeStages } from './checkStall';
import { noteFailure } from './noteFailure';
import { reopenRequest } from './reopenRequest';
import type { Router, RouterDecision } from './router';
import type { RouterEvent } from './routerMessage';
import type { RunningRequest } from './runningRequest';

type KvFound = Extract<RouterEvent, { readonly type: 'kv-found' }>;

/** Handles the answer to `find-kv`; one that comes late changes nothing. */
export function receiveKv(router: Router, event: KvFound): RouterDecision {
  const running = router.requests.get(event.request);
  const isAsked = running?.phase === 'streaming' && running.isAsking;
  if (isAsked && running.attempt === event.attempt) {
    return judgeStages(router, running, event, event);
  }
  const isAwaited = running?.phase === 'finding-kv' && running.attempt === event.attempt;
  if (!isAwaited) return { state: router, effects: [] };
  const kvExports = event.exports.filter((item) => item.request === event.request);
  const cleared = clearDoubt(running, event.answered);
  const mute = cleared.avoided.filter((engine) => !running.avoided.includes(engine));
  const noted = noteFailure(router, mute, event.atMs);
  const reopened = reopenRequest(noted, cleared, kvExports, event);
  const timer = `kv/${event.request}`;
  return { state: reopened.state, effects: [{ type: 'clear-timer', timer }, ...reopened.effects] };
}

/** Where any engine answered, the doubted ones that did not are avoided, and the others cleared. */
function clearDoubt(running: RunningRequest, engines: readonly BackendServerId[]): RunningRequest {
  const answered = new Set(engines);
  const mute = running.doubted.filter((engine) => !answered.has(engine));
  const isTelling = mute.length > 0 && answered.size > 0;
  if (!isTelling) return running;
  const avoided = running.avoided.filter((engine) => !running.doubted.includes(engine));
  return { ...running, avoided: [...avoided, ...mute], doubted: [] };
}
