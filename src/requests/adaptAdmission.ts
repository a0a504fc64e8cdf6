/**
 * Adapts the limit of requests that run at once to the time to the first token: up while it is short,
 * down in proportion when it is long (additive increase, multiplicative decrease: Chiu and Jain,
 * Computer Networks and ISDN Systems 17, 1989). Also works out this VM's rates for the digests.
 */

import { MS_PER_SECOND } from '../units';
import type { Admission, WorkspaceLoad } from './admission';
import {
  FIRST_TOKEN_GOAL,
  IDLE_WORKSPACE_MS,
  LIMIT_FALL,
  LIMIT_FLOOR,
  LIMIT_RISE,
  LIMIT_START_RISE,
  LOWER_PAUSE,
  MAX_SHARED_WORKSPACES,
} from './constants';
import type { Router } from './router';
import type { WorkspaceUse } from './routerMessage';

/** @returns the admission of the next period, and this VM's use of the one that ended */
export function adaptAdmission(
  router: Router,
  atMs: number,
): { readonly admission: Admission; readonly uses: readonly WorkspaceUse[] } {
  const { admission } = router;
  const seconds = Math.max(1, atMs - admission.adaptedAtMs) / MS_PER_SECOND;
  const workspaces = admission.workspaces
    .filter((load) => load.running > 0 || atMs - load.seenAtMs < IDLE_WORKSPACE_MS)
    .map((load) => closePeriod(load, seconds));
  const uses = [...workspaces]
    .sort(([, a], [, b]) => b.running - a.running)
    .slice(0, MAX_SHARED_WORKSPACES)
    .map(([workspace, load]): WorkspaceUse => {
      const { requestsPerSecond, tokensPerSecond, running } = load;
      return { workspace, requestsPerSecond, tokensPerSecond, running, ageMs: 0 };
    });
  const { firstTokens, firstTokenSumMs } = admission;
  const firstTokenMs = firstTokens > 0 ? firstTokenSumMs / firstTokens : admission.firstTokenMs / 2;
  return {
    admission: {
      ...admission,
      workspaces,
      ...adaptLimit(router, firstTokenMs, atMs),
      firstTokenMs,
      firstTokens: 0,
      firstTokenSumMs: 0,
      adaptedAtMs: atMs,
    },
    uses,
  };
}

function closePeriod(load: WorkspaceLoad, seconds: number): WorkspaceLoad {
  return {
    ...load,
    requests: 0,
    tokens: 0,
    requestsPerSecond: load.requests / seconds,
    tokensPerSecond: load.tokens / seconds,
  };
}

/** The limit is lowered once, then left until the requests that it let in show their times. */
function adaptLimit(
  router: Router,
  firstTokenMs: number,
  atMs: number,
): Pick<Admission, 'limit' | 'loweredAtMs'> {
  const { limit, loweredAtMs } = router.admission;
  const running = router.requests.size;
  const overMs = firstTokenMs - goalMs(router);
  if (overMs > 0) {
    if (atMs - loweredAtMs < LOWER_PAUSE * firstTokenMs) return { limit, loweredAtMs };
    const part = Math.max(LIMIT_FALL, goalMs(router) / firstTokenMs);
    return { limit: Math.max(LIMIT_FLOOR, limit * part), loweredAtMs: atMs };
  }
  const isUsed = running > limit * 0.75;
  const rise = -overMs > firstTokenMs ? LIMIT_START_RISE : LIMIT_RISE;
  const raised = Math.min(router.options.maxRunning, limit * rise + 1);
  return { limit: isUsed ? raised : limit, loweredAtMs };
}

/** A part of the shortest target of all model services. */
function goalMs(router: Router): number {
  let shortest = Infinity;
  for (const service of router.configuration.service.values()) {
    if (service.kind === 'model') shortest = Math.min(shortest, service.firstTokenTargetMs);
  }
  return shortest * FIRST_TOKEN_GOAL;
}
