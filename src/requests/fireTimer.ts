/** Handles the router side's timers: `admission`, `stall/{request}`, `kv/{request}` and `turn/{request}`. */

import type { TimerFired } from '../decisions/primitive';
import { adaptAdmission } from './adaptAdmission';
import { checkStall, judgeStages } from './checkStall';
import { addressRoute } from './addressRoute';
import { avoidLostDomains } from './avoidLostDomains';
import { chooseAlone } from './chooseAlone';
import { ADAPT_MS, ADMISSION_TIMER, TURN_CHECK_MS, TURN_WAIT_MS } from './constants';
import { endRequest } from './endRequest';
import { judgeContent } from './judgeContent';
import { openAttempt } from './openAttempt';
import { refusalOf } from './refusalOf';
import { refuse } from './refuse';
import { reopenRequest } from './reopenRequest';
import type { Router, RouterDecision } from './router';
import type { RunningRequest } from './runningRequest';

type TimerHandler = (router: Router, running: RunningRequest, event: TimerFired) => RouterDecision;

const handlers: Readonly<Record<string, TimerHandler>> = {
  stall: checkStall,
  kv: giveUpOnKv,
  turn: takeTurn,
};

/** Hands a timer to the handler of its kind; a timer of a request that ended does nothing. */
export function fireTimer(router: Router, event: TimerFired): RouterDecision {
  if (event.timer === ADMISSION_TIMER) return adapt(router, event.atMs);
  const split = event.timer.indexOf('/');
  const handler = handlers[event.timer.slice(0, split)];
  const running = router.requests.get(event.timer.slice(split + 1));
  if (handler === undefined || running === undefined) return { state: router, effects: [] };
  return handler(router, running, event);
}

function adapt(router: Router, atMs: number): RouterDecision {
  const { admission, uses } = adaptAdmission(router, atMs);
  return {
    state: avoidLostDomains({ ...router, admission }, atMs),
    effects: [
      { type: 'share-use', uses },
      { type: 'set-timer', timer: ADMISSION_TIMER, afterMs: ADAPT_MS },
    ],
  };
}

/** Opens a suspect's last attempt once no other suspect is on its servers. */
function takeTurn(router: Router, running: RunningRequest, event: TimerFired): RouterDecision {
  if (running.phase !== 'waiting') return { state: router, effects: [] };
  const { atMs, timer } = event;
  const verdict = judgeContent(router, running.request.fingerprint, atMs);
  const refusal = (reason: string): RouterDecision =>
    endRequest(router, running, refuse(running.request.id, refusalOf(running, reason, reason)));
  if (verdict === 'refused') return refusal('suspect-content');
  if (verdict === 'free') return reopenRequest(router, running, [], event);
  const route = chooseAlone(router, running);
  if (route !== undefined) {
    const addressed = addressRoute(router.configuration, route);
    return openAttempt(router, { ...running, isAlone: true }, route, addressed, atMs);
  }
  if (atMs - running.waitsSinceMs > TURN_WAIT_MS) return refusal('suspect-busy');
  return { state: router, effects: [{ type: 'set-timer', timer, afterMs: TURN_CHECK_MS }] };
}

function giveUpOnKv(router: Router, running: RunningRequest, event: TimerFired): RouterDecision {
  if (running.phase === 'streaming' && running.isAsking) {
    return judgeStages(router, running, { answered: [], exports: [] }, event);
  }
  if (running.phase !== 'finding-kv') return { state: router, effects: [] };
  return reopenRequest(router, running, [], event);
}
