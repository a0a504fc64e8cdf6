/**
 * Recovery of a request whose attempt broke: the attempt is shut out and cancelled first, then the
 * stages are asked for the KV cache that they kept, and the next attempt opens on a route that
 * leaves the healthy stages in place.
 */

import type { BackendServerId } from '../backendServers/backendServer';
import type { KvExport } from '../contracts/engineContract';
import { addressRoute } from './addressRoute';
import { blameCrash } from './blameCrash';
import { KV_LOOKUP_MS, MAX_ATTEMPTS, SUSPECT_NEWS_MS } from './constants';
import { endRequest } from './endRequest';
import { isAwaitingFirstToken } from './isAwaitingFirstToken';
import { judgeContent } from './judgeContent';
import { noteFailure } from './noteFailure';
import { releaseRoute } from './releaseRoute';
import { reopenRequest } from './reopenRequest';
import { refusalOf } from './refusalOf';
import { refuse } from './refuse';
import type { Router, RouterDecision } from './router';
import type { RouterEffect } from './routerMessage';
import type { RunningRequest } from './runningRequest';

/** How an attempt broke. */
export interface Break {
  /** Stable reason. */
  readonly reason: string;
  readonly detail: string;
  /** Engines that are no longer used for this request. */
  readonly failed: readonly BackendServerId[];
  /** The engine that crashed, where one did. */
  readonly crashed?: BackendServerId;
  /** Engines of which one stalled; the answer to `find-kv` may tell which. */
  readonly doubted?: readonly BackendServerId[];
  /** KV exports, where the engines were asked before. */
  readonly exports?: readonly KvExport[] | undefined;
  /** `nothing`: proof that the attempt ran nothing; `known`: an engine worked on it. */
  readonly ran: 'nothing' | 'maybe' | 'known';
}

/**
 * @param router the router
 * @param running the request
 * @param broke how its attempt broke
 * @param at when, and randomness for the next choice
 */
export function recoverRequest(
  router: Router,
  running: RunningRequest,
  broke: Break,
  at: { readonly atMs: number; readonly seed: number },
): RouterDecision {
  const shutOut = shutOutAttempt(running, broke);
  const blamed = blame(
    noteFailure(releaseRoute(router, running), noted(broke), at.atMs),
    running,
    broke,
    at.atMs,
  );
  const freed = blamed.state;
  const cancel = [...cancelAttempt(router, running, broke), ...blamed.effects];
  if (shutOut.attempt > MAX_ATTEMPTS || running.isAlone) {
    return giveUp(freed, shutOut, broke, cancel);
  }
  const verdict = judgeContent(freed, running.request.fingerprint, at.atMs);
  if (verdict === 'refused') {
    const reason = 'suspect-content';
    return giveUp(freed, shutOut, { ...broke, reason }, cancel);
  }
  if (verdict === 'alone' && running.deliveredCount === 0)
    return waitForTurn(freed, shutOut, cancel, at.atMs);
  if (running.deliveredCount === 0 || broke.exports !== undefined) {
    const reopened = reopenRequest(freed, shutOut, broke.exports ?? [], at);
    return { state: reopened.state, effects: [...cancel, ...reopened.effects] };
  }
  const { id } = running.request;
  const stages = addressRoute(router.configuration, running.route);
  return {
    state: { ...freed, requests: freed.requests.set(id, { ...shutOut, phase: 'finding-kv' }) },
    effects: [
      ...cancel,
      { type: 'find-kv', request: id, attempt: shutOut.attempt, stages },
      { type: 'set-timer', timer: `kv/${id}`, afterMs: KV_LOOKUP_MS },
    ],
  };
}

/** Where one of several engines stalled, which one shows only in the answers to `find-kv`. */
function noted(broke: Break): readonly BackendServerId[] {
  return (broke.doubted?.length ?? 0) > 1 ? [] : broke.failed;
}

function blame(
  router: Router,
  running: RunningRequest,
  { crashed }: Break,
  atMs: number,
): RouterDecision {
  if (crashed === undefined) return { state: router, effects: [] };
  const isSuspect = judgeContent(router, running.request.fingerprint, atMs) !== 'free';
  if (isSuspect && isProven(running, crashed)) return { state: router, effects: [] };
  return blameCrash(router, running, crashed, atMs);
}

/** An engine that brought tokens of a request before it crashed was not crashed by starting on it. */
function isProven(running: RunningRequest, engine: BackendServerId): boolean {
  return !isAwaitingFirstToken(running) || running.proven.includes(engine);
}

/** A suspect that brought nothing since its attempt opened tries once more, after the news is out. */
function waitForTurn(
  router: Router,
  running: RunningRequest,
  effects: readonly RouterEffect[],
  atMs: number,
): RouterDecision {
  const { id } = running.request;
  const waiting = { ...running, waitsSinceMs: atMs };
  return {
    state: { ...router, requests: router.requests.set(id, waiting) },
    effects: [...effects, { type: 'set-timer', timer: `turn/${id}`, afterMs: SUSPECT_NEWS_MS }],
  };
}

function shutOutAttempt(running: RunningRequest, broke: Break): RunningRequest {
  return {
    ...running,
    phase: 'waiting',
    attempt: running.attempt + 1,
    avoided: [...new Set([...running.avoided, ...broke.failed])],
    doubted: broke.doubted ?? [],
    proven: isAwaitingFirstToken(running)
      ? running.proven
      : [...new Set([...running.proven, ...running.route.map((stage) => stage.engine)])],
    mayHaveRun: running.mayHaveRun || broke.ran !== 'nothing',
    hasRun: running.hasRun || broke.ran === 'known',
  };
}

function cancelAttempt(
  router: Router,
  running: RunningRequest,
  broke: Break,
): readonly RouterEffect[] {
  const { id } = running.request;
  const clear: RouterEffect = { type: 'clear-timer', timer: `stall/${id}` };
  if (broke.ran === 'nothing') return [clear];
  const route = addressRoute(router.configuration, running.route);
  return [clear, { type: 'cancel-stream', request: id, attempt: running.attempt, route }];
}

function giveUp(
  router: Router,
  running: RunningRequest,
  broke: Break,
  effects: readonly RouterEffect[],
): RouterDecision {
  const refusal = refusalOf(running, broke.reason, broke.detail);
  return endRequest(router, running, [...effects, ...refuse(running.request.id, refusal)]);
}
