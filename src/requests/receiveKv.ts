/** Opens the next attempt once the engines have reported the KV cache that they kept. */

import type { BackendServerId } from '../backendServers/backendServer';
import { evaluateStageAnswers } from './checkStall';
import { recordEngineFailures } from './recordEngineFailures';
import { retryRequest } from './retryRequest';
import type { Router, RouterDecision } from './router';
import type { RouterEvent } from './routerMessage';
import type { RunningRequest } from './runningRequest';

type KvFound = Extract<RouterEvent, { readonly type: 'kv-found' }>;

/** Handles the answer to `find-kv`; ignores late answers. */
export function receiveKv(router: Router, event: KvFound): RouterDecision {
  const running = router.requests.get(event.request);
  const isStallQuery = running?.phase === 'streaming' && running.isQueryingStages;
  if (isStallQuery && running.attempt === event.attempt) {
    return evaluateStageAnswers(router, running, event, event);
  }
  const isAwaited = running?.phase === 'finding-kv' && running.attempt === event.attempt;
  if (!isAwaited) return { state: router, effects: [] };
  const kvExports = event.exports.filter((item) => item.request === event.request);
  const cleared = resolveStallCandidates(running, event.answered);
  const unresponsive = cleared.avoided.filter((engine) => !running.avoided.includes(engine));
  const recorded = recordEngineFailures(router, unresponsive, event.atMs);
  const reopened = retryRequest(recorded, cleared, kvExports, event);
  const timer = `kv/${event.request}`;
  return { state: reopened.state, effects: [{ type: 'clear-timer', timer }, ...reopened.effects] };
}

/** If any engine answered, avoids the stall candidates that did not and clears the others. */
function resolveStallCandidates(
  running: RunningRequest,
  engines: readonly BackendServerId[],
): RunningRequest {
  const answered = new Set(engines);
  const unresponsive = running.stallCandidates.filter((engine) => !answered.has(engine));
  const isConclusive = unresponsive.length > 0 && answered.size > 0;
  if (!isConclusive) return running;
  const avoided = running.avoided.filter((engine) => !running.stallCandidates.includes(engine));
  return { ...running, avoided: [...avoided, ...unresponsive], stallCandidates: [] };
}
