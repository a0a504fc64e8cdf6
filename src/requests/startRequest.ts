/** Takes a request in: refuses it at once, or opens its first attempt. */

import type { NotRun, Refusal } from '../outcomes/outcome';
import { addressRoute } from './addressRoute';
import { admitRequest } from './admitRequest';
import { RETRY_AFTER_MS } from './constants';
import { chooseAlone } from './chooseAlone';
import { earnRetry } from './earnRetry';
import { judgeContent } from './judgeContent';
import { modelLoadOf } from './modelLoadOf';
import { openAttempt } from './openAttempt';
import { refuse } from './refuse';
import type { Request } from './request';
import type { Router, RouterDecision } from './router';
import type { RouterEvent } from './routerMessage';
import type { RunningRequest } from './runningRequest';

type RequestReceived = Extract<RouterEvent, { readonly type: 'request-received' }>;

export function startRequest(router: Router, event: RequestReceived): RouterDecision {
  const { request, atMs } = event;
  const running = createRunning(router, request);
  if ('outcome' in running) return { state: router, effects: refuse(request.id, running) };
  const verdict = judgeContent(router, request.fingerprint, atMs);
  if (verdict === 'refused') {
    const refusal = notRun('suspect-content', 'This content crashed two backend servers of late');
    return { state: router, effects: refuse(request.id, refusal) };
  }
  if (verdict === 'alone') return startAlone(router, running, event);
  const route = router.options.chooseRoute(router, running, atMs);
  if (route === undefined) {
    const refusal = notRun('no-route', 'No chain of usable engines holds every layer');
    return { state: router, effects: refuse(request.id, refusal) };
  }
  const admitted = admitRequest(router, running, event);
  if (admitted.type === 'refused') {
    return { state: router, effects: refuse(request.id, admitted.refusal) };
  }
  const { admission } = admitted;
  const earned = { ...router, admission, retries: earnRetry(router.retries) };
  return openAttempt(
    earned,
    { ...running, expectedFirstMs: modelLoadOf(router, running.model).firstTokenMs },
    route,
    addressRoute(router.configuration, route),
    atMs,
  );
}

/** A suspect runs now, where its servers are up and no other suspect is there, or not at all. */
function startAlone(
  router: Router,
  running: RunningRequest,
  event: RequestReceived,
): RouterDecision {
  const { request, atMs } = event;
  const route = isRunning(router, request.fingerprint) ? undefined : chooseAlone(router, running);
  if (route === undefined) {
    const refusal = notRun('suspect-busy', 'Suspect content has to wait for its turn');
    return { state: router, effects: refuse(request.id, refusal) };
  }
  const admitted = admitRequest(router, running, event);
  if (admitted.type === 'refused') {
    return { state: router, effects: refuse(request.id, admitted.refusal) };
  }
  const addressed = addressRoute(router.configuration, route);
  const { admission } = admitted;
  return openAttempt(
    { ...router, admission },
    { ...running, isAlone: true },
    route,
    addressed,
    atMs,
  );
}

function isRunning(router: Router, fingerprint: string): boolean {
  return router.requests.some((other) => other.request.fingerprint === fingerprint);
}

/** @returns the request as it starts, or why it does not */
function createRunning(router: Router, request: Request): RunningRequest | Refusal {
  if (!router.isAccepting) return notRun(router.refusalReason, 'This VM takes no new requests');
  if (router.requests.has(request.id)) return notRun('repeated-id', 'This request id is running');
  if (router.requests.size >= router.options.maxRunning) {
    return notRun('overloaded', 'This VM runs as many requests as it may');
  }
  const { configuration } = router;
  const service = configuration.service.get(`${request.workspace}/${request.service}`);
  if (service?.kind !== 'model') return notRun('unknown-service', 'No such model service');
  const model = configuration.model.get(service.model);
  if (model === undefined) return notRun('unknown-model', 'The model is not configured');
  if (request.prompt.length + request.maxTokens > service.maxTokens || request.maxTokens < 1) {
    return { outcome: 'failed', reason: 'too-long', detail: 'Prompt and answer do not fit' };
  }
  return {
    request,
    model: model.id,
    layers: model.layers,
    phase: 'streaming',
    attempt: 1,
    route: [],
    delivered: undefined,
    deliveredCount: 0,
    deliveredBefore: 0,
    openedAtMs: request.receivedAtMs,
    progressAtMs: request.receivedAtMs,
    paceMs: 0,
    paceDeviationMs: 0,
    expectedFirstMs: 0,
    avoided: [],
    proven: [],
    isAsking: false,
    doubted: [],
    isAlone: false,
    waitsSinceMs: request.receivedAtMs,
    mayHaveRun: false,
    hasRun: false,
  };
}

function notRun(reason: string, detail: string): NotRun {
  return { outcome: 'not-run', reason, detail, retryAfterMs: RETRY_AFTER_MS };
}
