/**
 * Looks at a stream that may have stalled. A silent stream alone proves nothing: under load its work
 * may wait in a queue, and starting it again would add to that queue. So its engines are asked first,
 * and only one that does not answer is replaced.
 */

import type { BackendServerId } from '../backendServers/backendServer';
import type { KvExport } from '../contracts/engineContract';
import type { Occurrence } from '../decisions/primitive';
import { addressRoute } from './addressRoute';
import { allowedSilenceMs } from './allowedSilenceMs';
import { HUNG_FACTOR, KV_LOOKUP_MS } from './constants';
import { findSilentStages } from './findSilentStages';
import { recoverRequest } from './recoverRequest';
import type { Router, RouterDecision } from './router';
import type { RouterEffect } from './routerMessage';
import type { RunningRequest } from './runningRequest';

/** What engines that were asked about a silent stream said. */
export interface StageAnswers {
  readonly answered: readonly BackendServerId[];
  readonly exports: readonly KvExport[];
}

/** Handles the timer of a stream that has brought nothing for a while. */
export function checkStall(
  router: Router,
  running: RunningRequest,
  { atMs }: Occurrence,
): RouterDecision {
  if (running.phase !== 'streaming' || running.isAsking) return { state: router, effects: [] };
  const allowedMs = allowedSilenceMs(running);
  const leftMs = running.progressAtMs + allowedMs - atMs;
  if (leftMs > 0) return lookAgain(router, running, leftMs);
  const silent = findSilentStages(router, running, allowedMs, atMs);
  if (silent.length === 0 && !isHung(running, atMs)) return lookAgain(router, running, allowedMs);
  return askStages(router, running);
}

/** Replaces the engines that did not answer, or lets the stream wait on where all did. */
export function judgeStages(
  router: Router,
  running: RunningRequest,
  { answered, exports }: StageAnswers,
  at: Occurrence,
): RouterDecision {
  const engines = running.route.map((stage) => stage.engine);
  const mute = engines.filter((engine) => !answered.includes(engine));
  const isCalm = mute.length === 0 && !isHung(running, at.atMs);
  if (isCalm) return waitOn(router, running);
  const silent = findSilentStages(router, running, allowedSilenceMs(running), at.atMs);
  const hung = silent.length > 0 ? silent.slice(0, 1) : engines.slice(0, 1);
  return replace(router, running, { failed: mute.length > 0 ? mute : hung, exports }, at);
}

function waitOn(router: Router, running: RunningRequest): RouterDecision {
  const calm = { ...running, isAsking: false };
  const state = { ...router, requests: router.requests.set(running.request.id, calm) };
  return lookAgain(state, calm, allowedSilenceMs(running));
}

function isHung(running: RunningRequest, atMs: number): boolean {
  return atMs - running.progressAtMs > HUNG_FACTOR * allowedSilenceMs(running);
}

function lookAgain(router: Router, running: RunningRequest, afterMs: number): RouterDecision {
  const timer = `stall/${running.request.id}`;
  return { state: router, effects: [{ type: 'set-timer', timer, afterMs: Math.ceil(afterMs) }] };
}

function askStages(router: Router, running: RunningRequest): RouterDecision {
  const { id } = running.request;
  const stages = addressRoute(router.configuration, running.route);
  const requests = router.requests.set(id, { ...running, isAsking: true });
  return {
    state: { ...router, requests },
    effects: [
      { type: 'find-kv', request: id, attempt: running.attempt, stages },
      { type: 'set-timer', timer: `kv/${id}`, afterMs: KV_LOOKUP_MS },
    ],
  };
}

function replace(
  router: Router,
  running: RunningRequest,
  found: {
    readonly failed: readonly BackendServerId[];
    readonly exports: readonly KvExport[];
  },
  at: Occurrence,
): RouterDecision {
  const silenceMs = Math.round(at.atMs - running.progressAtMs);
  const detail = `No token for ${silenceMs} ms`;
  const broke = { reason: 'stage-stalled', detail, ran: 'maybe', ...found } as const;
  const recovered = recoverRequest(router, running, broke, at);
  const observed = found.failed.map((server): RouterEffect => ({
    type: 'observe-server',
    server,
    observation: 'slow',
  }));
  const clear: RouterEffect = { type: 'clear-timer', timer: `kv/${running.request.id}` };
  return { ...recovered, effects: [...observed, clear, ...recovered.effects] };
}
