/** Verifies a token frame and delivers its token. */

import { checkFrame, type FrameFault } from './checkFrame';
import { CLEARING_TOKENS, TOKEN_INTERVAL_SMOOTHING } from './constants';
import { endRequest } from './endRequest';
import { isAwaitingFirstToken } from './isAwaitingFirstToken';
import { getModelLoad } from './getModelLoad';
import { recordServedToken } from './recordServedToken';
import type { Router, RouterDecision } from './router';
import type { RouterEffect, RouterEvent } from './routerMessage';
import type { RunningRequest } from './runningRequest';
import type { TokenFrame } from './tokenFrame';

type StreamEvent = Extract<RouterEvent, { readonly type: 'stream-message' }>;

/**
 * @param router the router
 * @param event the message that carried the frame
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
  const next = advanceRequest(running, frame, event.atMs);
  const served = recordFirstToken(
    recordServedToken(router, running, event.atMs),
    running,
    event.atMs,
  );
  const deliver: RouterEffect = { type: 'deliver', request: frame.request, frame };
  if (frame.finish !== undefined || next.deliveredCount === running.request.maxTokens) {
    return finish(served, next, deliver, frame.finish ?? 'length');
  }
  const requests = router.requests.set(frame.request, next);
  return { state: { ...clearSuspect(served, next), requests }, effects: [deliver] };
}

/** Records the time to a request's first token; admission is based on it. */
function recordFirstToken(router: Router, running: RunningRequest, atMs: number): Router {
  if (running.deliveredCount > 0) return router;
  const { admission } = router;
  const load = getModelLoad(router, running.model);
  const firstTokenSumMs = load.firstTokenSumMs + atMs - running.openedAtMs;
  const firstTokenCount = load.firstTokenCount + 1;
  const models = admission.models.set(running.model, { ...load, firstTokenCount, firstTokenSumMs });
  return { ...router, admission: { ...admission, models } };
}

/** Clears the content of suspicion after enough tokens since its crash. */
function clearSuspect(router: Router, running: RunningRequest): Router {
  const isCleared = running.deliveredCount - running.deliveredBefore === CLEARING_TOKENS;
  if (!isCleared || router.crashHistory.records.size === 0) return router;
  const { fingerprint } = running.request;
  const record = router.crashHistory.records.get(fingerprint);
  if (record === undefined) return router;
  const records = router.crashHistory.records.set(fingerprint, { ...record, isCleared });
  return { ...router, crashHistory: { ...router.crashHistory, records } };
}

function dropFrame(router: Router, reason: FrameFault | 'unknown-request'): RouterDecision {
  const labels = { reason };
  const effects: readonly RouterEffect[] = [
    { type: 'count', counter: 'frames_dropped', by: 1, labels },
  ];
  return { state: router, effects };
}

function advanceRequest(running: RunningRequest, frame: TokenFrame, atMs: number): RunningRequest {
  return {
    ...running,
    ...(isAwaitingFirstToken(running)
      ? {}
      : updateTokenInterval(running, atMs - running.progressAtMs)),
    delivered: { token: frame.token, before: running.delivered },
    deliveredCount: running.deliveredCount + 1,
    progressAtMs: atMs,
    isQueryingStages: false,
    mayHaveRun: true,
    hasRun: true,
  };
}

function updateTokenInterval(
  { meanTokenIntervalMs, tokenIntervalDeviationMs }: RunningRequest,
  intervalMs: number,
): Pick<RunningRequest, 'meanTokenIntervalMs' | 'tokenIntervalDeviationMs'> {
  if (meanTokenIntervalMs === 0)
    return { meanTokenIntervalMs: intervalMs, tokenIntervalDeviationMs: intervalMs / 2 };
  const error = intervalMs - meanTokenIntervalMs;
  return {
    meanTokenIntervalMs: meanTokenIntervalMs + TOKEN_INTERVAL_SMOOTHING * error,
    tokenIntervalDeviationMs:
      tokenIntervalDeviationMs +
      TOKEN_INTERVAL_SMOOTHING * (Math.abs(error) - tokenIntervalDeviationMs),
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
