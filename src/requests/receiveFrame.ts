/** Checks one token frame against the pass ledger and delivers its token. */

import { checkFrame, type FrameFault } from './checkFrame';
import { CLEARING_TOKENS, PACE_WEIGHT } from './constants';
import { endRequest } from './endRequest';
import { isAwaitingFirstToken } from './isAwaitingFirstToken';
import { modelLoadOf } from './modelLoadOf';
import { serveRoute } from './serveRoute';
import type { Router, RouterDecision } from './router';
import type { RouterEffect, RouterEvent } from './routerMessage';
import type { RunningRequest } from './runningRequest';
import type { TokenFrame } from './tokenFrame';

type StreamEvent = Extract<RouterEvent, { readonly type: 'stream-message' }>;

/**
 * @param router the router
 * @param event the message that brought the frame
 * @param frame the frame
 */
export function receiveFrame(
  router: Router,
  event: StreamEvent,
  frame: TokenFrame,
): RouterDecision {
  const running = router.requests.get(event.request);
  if (running === undefined) return dropFrame(router, 'unknown-request');
  const fault = checkFrame(running, event.attempt, frame);
  if (fault !== undefined) return dropFrame(router, fault);
  const next = advance(running, frame, event.atMs);
  const served = noteFirst(serveRoute(router, running, event.atMs), running, event.atMs);
  const deliver: RouterEffect = { type: 'deliver', request: frame.request, frame };
  if (frame.finish !== undefined || next.deliveredCount === running.request.maxTokens) {
    return finish(served, next, deliver, frame.finish ?? 'length');
  }
  const requests = router.requests.set(frame.request, next);
  return { state: { ...clear(served, next), requests }, effects: [deliver] };
}

/** The time to the first token of a request's first attempt is what admission goes by. */
function noteFirst(router: Router, running: RunningRequest, atMs: number): Router {
  if (running.deliveredCount > 0) return router;
  const { admission } = router;
  const load = modelLoadOf(router, running.model);
  const firstTokenSumMs = load.firstTokenSumMs + atMs - running.openedAtMs;
  const firstTokens = load.firstTokens + 1;
  const models = admission.models.set(running.model, { ...load, firstTokens, firstTokenSumMs });
  return { ...router, admission: { ...admission, models } };
}

/** Tokens after a crash clear the content of it. */
function clear(router: Router, running: RunningRequest): Router {
  const isCleared = running.deliveredCount - running.deliveredBefore === CLEARING_TOKENS;
  if (!isCleared || router.suspicion.records.size === 0) return router;
  const { fingerprint } = running.request;
  const record = router.suspicion.records.get(fingerprint);
  if (record === undefined) return router;
  const records = router.suspicion.records.set(fingerprint, { ...record, isCleared });
  return { ...router, suspicion: { ...router.suspicion, records } };
}

function dropFrame(router: Router, reason: FrameFault | 'unknown-request'): RouterDecision {
  const labels = { reason };
  const effects: readonly RouterEffect[] = [
    { type: 'count', counter: 'frames_dropped', by: 1, labels },
  ];
  return { state: router, effects };
}

function advance(running: RunningRequest, frame: TokenFrame, atMs: number): RunningRequest {
  return {
    ...running,
    ...(isAwaitingFirstToken(running) ? {} : movePace(running, atMs - running.progressAtMs)),
    delivered: { token: frame.token, before: running.delivered },
    deliveredCount: running.deliveredCount + 1,
    progressAtMs: atMs,
    isAsking: false,
    mayHaveRun: true,
    hasRun: true,
  };
}

function movePace(
  { paceMs, paceDeviationMs }: RunningRequest,
  intervalMs: number,
): Pick<RunningRequest, 'paceMs' | 'paceDeviationMs'> {
  if (paceMs === 0) return { paceMs: intervalMs, paceDeviationMs: intervalMs / 2 };
  const error = intervalMs - paceMs;
  return {
    paceMs: paceMs + PACE_WEIGHT * error,
    paceDeviationMs: paceDeviationMs + PACE_WEIGHT * (Math.abs(error) - paceDeviationMs),
  };
}

function finish(
  router: Router,
  running: RunningRequest,
  deliver: RouterEffect,
  reason: 'stop' | 'length',
): RouterDecision {
  const { id } = running.request;
  return endRequest(router, running, [
    deliver,
    { type: 'finish', request: id, finish: reason, attempts: running.attempt },
    { type: 'clear-timer', timer: `stall/${id}` },
  ]);
}
