/**
 * Checks streams for stalls. Silence alone does not prove a failure: under load the work may wait in an
 * engine's queue, and restarting it would lengthen that queue. The engines are therefore queried first.
 * Those that do not answer are replaced; if all answer, one is replaced only when the stream hangs.
 */

import type { BackendServerId } from '../backendServers/backendServer';
import type { KvExport } from '../contracts/engineContract';
import type { Occurrence } from '../decisions/primitive';
import { addressRoute } from './addressRoute';
import { computeStallTimeoutMs } from './computeStallTimeoutMs';
import { HUNG_STREAM_FACTOR, KV_LOOKUP_TIMEOUT_MS } from './constants';
import { findSilentStages } from './findSilentStages';
import { recoverRequest } from './recoverRequest';
import type { Router, RouterDecision } from './router';
import type { RouterEffect } from './routerMessage';
import type { RunningRequest } from './runningRequest';

/** Answers of the engines that were queried about a silent stream. */
export interface StageAnswers {
  readonly answered: readonly BackendServerId[];
  readonly exports: readonly KvExport[];
}

/** Handles the stall timer of a stream: reschedules it or queries the engines of a silent stream. */
export function checkStall(
  router: Router,
  running: RunningRequest,
  { atMs }: Occurrence,
): RouterDecision {
  if (running.phase !== 'streaming' || running.isQueryingStages)
    return { state: router, effects: [] };
  const stallTimeoutMs = computeStallTimeoutMs(running);
  const remainingMs = running.progressAtMs + stallTimeoutMs - atMs;
  if (remainingMs > 0) return scheduleStallCheck(router, running, remainingMs);
  const silent = findSilentStages(router, running, stallTimeoutMs, atMs);
  if (silent.length === 0 && !isHung(running, atMs))
    return scheduleStallCheck(router, running, stallTimeoutMs);
  return queryStages(router, running);
}

/** Replaces the engines that did not answer; if all did, lets the stream continue unless it hangs. */
export function evaluateStageAnswers(
  router: Router,
  running: RunningRequest,
  { answered, exports }: StageAnswers,
  at: Occurrence,
): RouterDecision {
  const engines = running.route.map((stage) => stage.engine);
  const unresponsive = engines.filter((engine) => !answered.includes(engine));
  const mayContinue = unresponsive.length === 0 && !isHung(running, at.atMs);
  if (mayContinue) return continueStream(router, running);
  const silent = findSilentStages(router, running, computeStallTimeoutMs(running), at.atMs);
  const hung = silent.length > 0 ? silent.slice(0, 1) : engines.slice(0, 1);
  return replaceEngines(
    router,
    running,
    { failed: unresponsive.length > 0 ? unresponsive : hung, exports },
    at,
  );
}

function continueStream(router: Router, running: RunningRequest): RouterDecision {
  const continued = { ...running, isQueryingStages: false };
  const state = { ...router, requests: router.requests.set(running.request.id, continued) };
  return scheduleStallCheck(state, continued, computeStallTimeoutMs(running));
}

function isHung(running: RunningRequest, atMs: number): boolean {
  return atMs - running.progressAtMs > HUNG_STREAM_FACTOR * computeStallTimeoutMs(running);
}

function scheduleStallCheck(
  router: Router,
  running: RunningRequest,
  afterMs: number,
): RouterDecision {
  const timer = `stall/${running.request.id}`;
  return { state: router, effects: [{ type: 'set-timer', timer, afterMs: Math.ceil(afterMs) }] };
}

function queryStages(router: Router, running: RunningRequest): RouterDecision {
  const { id } = running.request;
  const stages = addressRoute(router.configuration, running.route);
  const requests = router.requests.set(id, { ...running, isQueryingStages: true });
  return {
    state: { ...router, requests },
    effects: [
      { type: 'find-kv', request: id, attempt: running.attempt, stages },
      { type: 'set-timer', timer: `kv/${id}`, afterMs: KV_LOOKUP_TIMEOUT_MS },
    ],
  };
}

function replaceEngines(
  router: Router,
  running: RunningRequest,
  replaced: {
    readonly failed: readonly BackendServerId[];
    readonly exports: readonly KvExport[];
  },
  at: Occurrence,
): RouterDecision {
  const silenceMs = Math.round(at.atMs - running.progressAtMs);
  const detail = `No token for ${silenceMs} ms`;
  const failure = { reason: 'stage-stalled', detail, ran: 'maybe', ...replaced } as const;
  const recovered = recoverRequest(router, running, failure, at);
  const observed = replaced.failed.map((server): RouterEffect => ({
    type: 'observe-server',
    server,
    observation: 'slow',
  }));
  const clearTimer: RouterEffect = { type: 'clear-timer', timer: `kv/${running.request.id}` };
  return { ...recovered, effects: [...observed, clearTimer, ...recovered.effects] };
}
