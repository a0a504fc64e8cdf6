/** Handles the router side's timers: `stall/{request}` and `kv/{request}`. */

import type { TimerFired } from '../decisions/primitive';
import { FIRST_TOKEN_STALL_MS, STALL_DEVIATIONS, STALL_FLOOR_MS } from './constants';
import { recoverRequest } from './recoverRequest';
import { reopenRequest } from './reopenRequest';
import type { Router, RouterDecision } from './router';
import type { RunningRequest } from './runningRequest';

type TimerHandler = (router: Router, running: RunningRequest, event: TimerFired) => RouterDecision;

const handlers: Readonly<Record<string, TimerHandler>> = {
  stall: checkStall,
  kv: giveUpOnKv,
};

/** Hands a timer to the handler of its kind; a timer of a request that ended does nothing. */
export function fireTimer(router: Router, event: TimerFired): RouterDecision {
  const split = event.timer.indexOf('/');
  const handler = handlers[event.timer.slice(0, split)];
  const running = router.requests.get(event.timer.slice(split + 1));
  if (handler === undefined || running === undefined) return { state: router, effects: [] };
  return handler(router, running, event);
}

function checkStall(router: Router, running: RunningRequest, event: TimerFired): RouterDecision {
  if (running.phase !== 'streaming') return { state: router, effects: [] };
  const leftMs = running.progressAtMs + allowedSilenceMs(running) - event.atMs;
  if (leftMs > 0) {
    const { timer } = event;
    return { state: router, effects: [{ type: 'set-timer', timer, afterMs: Math.ceil(leftMs) }] };
  }
  const failed = running.route.slice(0, 1).map((stage) => stage.engine);
  const broke = {
    reason: 'stage-stalled',
    detail: 'A stage stopped sending',
    failed,
    ran: 'maybe',
  } as const;
  return recoverRequest(router, running, broke, event);
}

function allowedSilenceMs(running: RunningRequest): number {
  if (running.deliveredCount === running.deliveredBefore || running.paceMs === 0) {
    return FIRST_TOKEN_STALL_MS;
  }
  const lateMs = running.paceMs + STALL_DEVIATIONS * running.paceDeviationMs;
  return Math.max(STALL_FLOOR_MS, lateMs);
}

function giveUpOnKv(router: Router, running: RunningRequest, event: TimerFired): RouterDecision {
  if (running.phase !== 'finding-kv') return { state: router, effects: [] };
  return reopenRequest(router, running, [], event);
}
