/**
 * Recovers a request whose attempt failed: supersedes and cancels the attempt, queries the stages for
 * the KV cache that they kept, and opens the next attempt on a route that keeps the healthy stages.
 */

import type { BackendServerId } from '../backendServers/backendServer';
import type { KvExport } from '../contracts/engineContract';
import { addressRoute } from './addressRoute';
import { attributeCrash } from './attributeCrash';
import { KV_LOOKUP_TIMEOUT_MS, MAX_ATTEMPTS, SUSPECT_PROPAGATION_MS } from './constants';
import { endRequest } from './endRequest';
import { isAwaitingFirstToken } from './isAwaitingFirstToken';
import { evaluateContent } from './evaluateContent';
import { recordEngineFailures } from './recordEngineFailures';
import { removeRouteLoad } from './removeRouteLoad';
import { retryRequest } from './retryRequest';
import { createRefusal } from './createRefusal';
import { createRefusalEffects } from './createRefusalEffects';
import type { Router, RouterDecision } from './router';
import type { RouterEffect } from './routerMessage';
import type { RunningRequest } from './runningRequest';

/** Describes how an attempt failed. */
export interface AttemptFailure {
  /** Stable reason code. */
  readonly reason: string;
  readonly detail: string;
  /** Engines to exclude from later attempts of this request. */
  readonly failed: readonly BackendServerId[];
  /** The engine that crashed, if any. */
  readonly crashed?: BackendServerId;
  /** Engines of which at least one stalled; the answer to `find-kv` may identify it. */
  readonly stallCandidates?: readonly BackendServerId[];
  /** KV exports, if the engines have already been queried. */
  readonly exports?: readonly KvExport[] | undefined;
  /** `nothing`: the attempt certainly executed no work; `known`: an engine executed some. */
  readonly ran: 'nothing' | 'maybe' | 'known';
}

/**
 * @param router the router
 * @param running the request
 * @param failure how its attempt failed
 * @param at the current time, and a random seed
 */
export function recoverRequest(
  router: Router,
  running: RunningRequest,
  failure: AttemptFailure,
  at: { readonly atMs: number; readonly seed: number },
): RouterDecision {
  const superseded = supersedeAttempt(running, failure);
  const attributed = attributeEngineCrash(
    recordEngineFailures(removeRouteLoad(router, running), selectFailedEngines(failure), at.atMs),
    running,
    failure,
    at.atMs,
  );
  const released = attributed.state;
  const cancel = [...cancelAttempt(router, running, failure), ...attributed.effects];
  if (superseded.attempt > MAX_ATTEMPTS || running.isIsolated) {
    return abandonRequest(released, superseded, failure, cancel);
  }
  const verdict = evaluateContent(released, running.request.fingerprint, at.atMs);
  if (verdict === 'refused') {
    const reason = 'suspect-content';
    return abandonRequest(released, superseded, { ...failure, reason }, cancel);
  }
  if (verdict === 'alone' && running.deliveredCount === 0)
    return delaySuspect(released, superseded, cancel, at.atMs);
  if (running.deliveredCount === 0 || failure.exports !== undefined) {
    const reopened = retryRequest(released, superseded, failure.exports ?? [], at);
    return { state: reopened.state, effects: [...cancel, ...reopened.effects] };
  }
  const { id } = running.request;
  const stages = addressRoute(router.configuration, running.route);
  return {
    state: {
      ...released,
      requests: released.requests.set(id, { ...superseded, phase: 'finding-kv' }),
    },
    effects: [
      ...cancel,
      { type: 'find-kv', request: id, attempt: superseded.attempt, stages },
      { type: 'set-timer', timer: `kv/${id}`, afterMs: KV_LOOKUP_TIMEOUT_MS },
    ],
  };
}

/** Selects the engines to record as failed; none while several are stall candidates. */
function selectFailedEngines(failure: AttemptFailure): readonly BackendServerId[] {
  return (failure.stallCandidates?.length ?? 0) > 1 ? [] : failure.failed;
}

function attributeEngineCrash(
  router: Router,
  running: RunningRequest,
  { crashed }: AttemptFailure,
  atMs: number,
): RouterDecision {
  if (crashed === undefined) return { state: router, effects: [] };
  const isSuspect = evaluateContent(router, running.request.fingerprint, atMs) !== 'free';
  if (isSuspect && hasProducedTokens(running, crashed)) return { state: router, effects: [] };
  return attributeCrash(router, running, crashed, atMs);
}

/** If an engine produced tokens of the request before it crashed, starting the request was not the cause. */
function hasProducedTokens(running: RunningRequest, engine: BackendServerId): boolean {
  return !isAwaitingFirstToken(running) || running.provenEngines.includes(engine);
}

/** Delays the second attempt of a suspect without tokens until its record has reached the other VMs. */
function delaySuspect(
  router: Router,
  running: RunningRequest,
  effects: readonly RouterEffect[],
  atMs: number,
): RouterDecision {
  const { id } = running.request;
  const waiting = { ...running, waitingSinceMs: atMs };
  return {
    state: { ...router, requests: router.requests.set(id, waiting) },
    effects: [
      ...effects,
      { type: 'set-timer', timer: `turn/${id}`, afterMs: SUSPECT_PROPAGATION_MS },
    ],
  };
}

function supersedeAttempt(running: RunningRequest, failure: AttemptFailure): RunningRequest {
  return {
    ...running,
    phase: 'waiting',
    attempt: running.attempt + 1,
    avoided: [...new Set([...running.avoided, ...failure.failed])],
    stallCandidates: failure.stallCandidates ?? [],
    provenEngines: isAwaitingFirstToken(running)
      ? running.provenEngines
      : [...new Set([...running.provenEngines, ...running.route.map((stage) => stage.engine)])],
    mayHaveRun: running.mayHaveRun || failure.ran !== 'nothing',
    hasRun: running.hasRun || failure.ran === 'known',
  };
}

function cancelAttempt(
  router: Router,
  running: RunningRequest,
  failure: AttemptFailure,
): readonly RouterEffect[] {
  const { id } = running.request;
  const clearTimer: RouterEffect = { type: 'clear-timer', timer: `stall/${id}` };
  if (failure.ran === 'nothing') return [clearTimer];
  const route = addressRoute(router.configuration, running.route);
  return [clearTimer, { type: 'cancel-stream', request: id, attempt: running.attempt, route }];
}

function abandonRequest(
  router: Router,
  running: RunningRequest,
  failure: AttemptFailure,
  effects: readonly RouterEffect[],
): RouterDecision {
  const refusal = createRefusal(running, failure.reason, failure.detail);
  return endRequest(router, running, [
    ...effects,
    ...createRefusalEffects(running.request.id, refusal),
  ]);
}
