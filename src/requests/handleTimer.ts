/** Handles the router's timers: `admission`, `stall/{request}`, `kv/{request}` and `turn/{request}`. */

import type { TimerFired } from '../decisions/primitive';
import { adaptAdmission } from './adaptAdmission';
import { checkStall, evaluateStageAnswers } from './checkStall';
import { addressRoute } from './addressRoute';
import { updateFailedDomains } from './updateFailedDomains';
import { chooseIsolatedRoute } from './chooseIsolatedRoute';
import {
  ADAPTATION_INTERVAL_MS,
  ADMISSION_TIMER,
  SUSPECT_CHECK_MS,
  SUSPECT_WAIT_MS,
} from './constants';
import { endRequest } from './endRequest';
import { evaluateContent } from './evaluateContent';
import { openAttempt } from './openAttempt';
import { createRefusal } from './createRefusal';
import { createRefusalEffects } from './createRefusalEffects';
import { retryRequest } from './retryRequest';
import type { Router, RouterDecision } from './router';
import type { RunningRequest } from './runningRequest';

type TimerHandler = (router: Router, running: RunningRequest, event: TimerFired) => RouterDecision;

const handlers: Readonly<Record<string, TimerHandler>> = {
  stall: checkStall,
  kv: expireKvLookup,
  turn: retrySuspect,
};

/** Dispatches a timer by the prefix of its name; ignores timers of requests that have ended. */
export function handleTimer(router: Router, event: TimerFired): RouterDecision {
  if (event.timer === ADMISSION_TIMER) return adaptRouter(router, event.atMs);
  const separator = event.timer.indexOf('/');
  const handler = handlers[event.timer.slice(0, separator)];
  const running = router.requests.get(event.timer.slice(separator + 1));
  if (handler === undefined || running === undefined) return { state: router, effects: [] };
  return handler(router, running, event);
}

function adaptRouter(router: Router, atMs: number): RouterDecision {
  const { admission, usage } = adaptAdmission(router, atMs);
  return {
    state: updateFailedDomains({ ...router, admission }, atMs),
    effects: [
      { type: 'share-use', usage },
      { type: 'set-timer', timer: ADMISSION_TIMER, afterMs: ADAPTATION_INTERVAL_MS },
    ],
  };
}

/** Opens a suspect's last attempt once its servers run no other suspect. */
function retrySuspect(router: Router, running: RunningRequest, event: TimerFired): RouterDecision {
  if (running.phase !== 'waiting') return { state: router, effects: [] };
  const { atMs, timer } = event;
  const verdict = evaluateContent(router, running.request.fingerprint, atMs);
  const refuse = (reason: string): RouterDecision =>
    endRequest(
      router,
      running,
      createRefusalEffects(running.request.id, createRefusal(running, reason, reason)),
    );
  if (verdict === 'refused') return refuse('suspect-content');
  if (verdict === 'free') return retryRequest(router, running, [], event);
  const route = chooseIsolatedRoute(router, running);
  if (route !== undefined) {
    const addressed = addressRoute(router.configuration, route);
    return openAttempt(router, { ...running, isIsolated: true }, route, addressed, atMs);
  }
  if (atMs - running.waitingSinceMs > SUSPECT_WAIT_MS) return refuse('suspect-busy');
  return { state: router, effects: [{ type: 'set-timer', timer, afterMs: SUSPECT_CHECK_MS }] };
}

function expireKvLookup(
  router: Router,
  running: RunningRequest,
  event: TimerFired,
): RouterDecision {
  if (running.phase === 'streaming' && running.isQueryingStages) {
    return evaluateStageAnswers(router, running, { answered: [], exports: [] }, event);
  }
  if (running.phase !== 'finding-kv') return { state: router, effects: [] };
  return retryRequest(router, running, [], event);
}
