/** Handles the router side's timers: `admission`, `stall/{request}` and `kv/{request}`. */

import type { BackendServerId } from '../backendServers/backendServer';
import type { TimerFired } from '../decisions/primitive';
import { allowedSilenceMs } from './allowedSilenceMs';
import { adaptAdmission } from './adaptAdmission';
import { addressRoute } from './addressRoute';
import { chooseAlone } from './chooseAlone';
import { ADAPT_MS, ADMISSION_TIMER, HUNG_FACTOR, TURN_CHECK_MS, TURN_WAIT_MS } from './constants';
import { endRequest } from './endRequest';
import { findSilentStages } from './findSilentStages';
import { judgeContent } from './judgeContent';
import { openAttempt } from './openAttempt';
import { recoverRequest } from './recoverRequest';
import { refusalOf } from './refusalOf';
import { refuse } from './refuse';
import { reopenRequest } from './reopenRequest';
import type { Router, RouterDecision } from './router';
import type { RouterEffect } from './routerMessage';
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
    state: { ...router, admission },
    effects: [
      { type: 'share-use', uses },
      { type: 'set-timer', timer: ADMISSION_TIMER, afterMs: ADAPT_MS },
    ],
  };
}

function checkStall(router: Router, running: RunningRequest, event: TimerFired): RouterDecision {
  if (running.phase !== 'streaming') return { state: router, effects: [] };
  const allowedMs = allowedSilenceMs(running);
  const leftMs = running.progressAtMs + allowedMs - event.atMs;
  if (leftMs > 0) {
    const { timer } = event;
    return { state: router, effects: [{ type: 'set-timer', timer, afterMs: Math.ceil(leftMs) }] };
  }
  const silent = findDoubted(router, running, allowedMs, event.atMs);
  if (silent.length === 0) {
    const { timer } = event;
    return { state: router, effects: [{ type: 'set-timer', timer, afterMs: allowedMs }] };
  }
  const broke = {
    reason: 'stage-stalled',
    detail: `No token for ${Math.round(allowedMs)} ms`,
    failed: silent.slice(0, 1),
    doubted: silent,
    ran: 'maybe',
  } as const;
  const recovered = recoverRequest(router, running, broke, event);
  const observed = silent
    .slice(0, 1)
    .map((server): RouterEffect => ({ type: 'observe-server', server, observation: 'slow' }));
  return { ...recovered, effects: [...observed, ...recovered.effects] };
}

/**
 * The silent engines; where all bring tokens to others, this stream only waits for its turn, unless
 * it has waited for too long: then its first engine is doubted.
 */
function findDoubted(
  router: Router,
  running: RunningRequest,
  allowedMs: number,
  atMs: number,
): readonly BackendServerId[] {
  const silent = findSilentStages(router, running, allowedMs, atMs);
  if (silent.length > 0) return silent;
  const isHung = atMs - running.progressAtMs > HUNG_FACTOR * allowedMs;
  return isHung ? running.route.slice(0, 1).map((stage) => stage.engine) : [];
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
  if (running.phase !== 'finding-kv') return { state: router, effects: [] };
  return reopenRequest(router, running, [], event);
}
