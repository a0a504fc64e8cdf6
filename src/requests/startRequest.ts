/** Starts a received request: refuses it immediately or opens its first attempt. */

import type { NotRun, Refusal } from '../outcomes/outcome';
import { addressRoute } from './addressRoute';
import { admitRequest } from './admitRequest';
import { RETRY_AFTER_MS } from './constants';
import { chooseIsolatedRoute } from './chooseIsolatedRoute';
import { addRetryCredit } from './addRetryCredit';
import { evaluateContent } from './evaluateContent';
import { getModelLoad } from './getModelLoad';
import { openAttempt } from './openAttempt';
import { createRefusalEffects } from './createRefusalEffects';
import type { Request } from './request';
import type { Router, RouterDecision } from './router';
import type { RouterEvent } from './routerMessage';
import type { RunningRequest } from './runningRequest';

type RequestReceived = Extract<RouterEvent, { readonly type: 'request-received' }>;

export function startRequest(router: Router, event: RequestReceived): RouterDecision {
  const { request, atMs } = event;
  const running = createRunningRequest(router, request);
  if ('outcome' in running)
    return { state: router, effects: createRefusalEffects(request.id, running) };
  const verdict = evaluateContent(router, request.fingerprint, atMs);
  if (verdict === 'refused') {
    const refusal = createNotRun(
      'suspect-content',
      'This content crashed two backend servers of late',
    );
    return { state: router, effects: createRefusalEffects(request.id, refusal) };
  }
  if (verdict === 'alone') return startIsolated(router, running, event);
  const route = router.options.chooseRoute(router, running, atMs);
  if (route === undefined) {
    const refusal = createNotRun('no-route', 'No chain of usable engines holds every layer');
    return { state: router, effects: createRefusalEffects(request.id, refusal) };
  }
  const admitted = admitRequest(router, running, event);
  if (admitted.type === 'refused') {
    return { state: router, effects: createRefusalEffects(request.id, admitted.refusal) };
  }
  const { admission } = admitted;
  const credited = { ...router, admission, retries: addRetryCredit(router.retries) };
  return openAttempt(
    credited,
    { ...running, expectedFirstTokenMs: getModelLoad(router, running.model).firstTokenMs },
    route,
    addressRoute(router.configuration, route),
    atMs,
  );
}

/** Starts a suspect if its servers are usable and run no other suspect; otherwise refuses it. */
function startIsolated(
  router: Router,
  running: RunningRequest,
  event: RequestReceived,
): RouterDecision {
  const { request, atMs } = event;
  const route = isContentRunning(router, request.fingerprint)
    ? undefined
    : chooseIsolatedRoute(router, running);
  if (route === undefined) {
    const refusal = createNotRun('suspect-busy', 'Suspect content has to wait for its turn');
    return { state: router, effects: createRefusalEffects(request.id, refusal) };
  }
  const admitted = admitRequest(router, running, event);
  if (admitted.type === 'refused') {
    return { state: router, effects: createRefusalEffects(request.id, admitted.refusal) };
  }
  const addressed = addressRoute(router.configuration, route);
  const { admission } = admitted;
  return openAttempt(
    { ...router, admission },
    { ...running, isIsolated: true },
    route,
    addressed,
    atMs,
  );
}

function isContentRunning(router: Router, fingerprint: string): boolean {
  return router.requests.some((other) => other.request.fingerprint === fingerprint);
}

/** @returns the initial state of the request, or the reason for refusing it */
function createRunningRequest(router: Router, request: Request): RunningRequest | Refusal {
  if (!router.isAccepting)
    return createNotRun(router.refusalReason, 'This VM takes no new requests');
  if (router.requests.has(request.id))
    return createNotRun('repeated-id', 'This request id is running');
  if (router.requests.size >= router.options.maxRunning) {
    return createNotRun('overloaded', 'This VM runs as many requests as it may');
  }
  const { configuration } = router;
  const service = configuration.service.get(`${request.workspace}/${request.service}`);
  if (service?.kind !== 'model') return createNotRun('unknown-service', 'No such model service');
  const model = configuration.model.get(service.model);
  if (model === undefined) return createNotRun('unknown-model', 'The model is not configured');
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
    meanTokenIntervalMs: 0,
    tokenIntervalDeviationMs: 0,
    expectedFirstTokenMs: 0,
    avoided: [],
    provenEngines: [],
    isQueryingStages: false,
    stallCandidates: [],
    isIsolated: false,
    waitingSinceMs: request.receivedAtMs,
    mayHaveRun: false,
    hasRun: false,
  };
}

function createNotRun(reason: string, detail: string): NotRun {
  return { outcome: 'not-run', reason, detail, retryAfterMs: RETRY_AFTER_MS };
}
