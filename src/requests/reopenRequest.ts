/** Opens the next attempt of a request whose last one broke, on a repaired route. */

import type { AddressedStage, KvExport } from '../contracts/engineContract';
import type { Refusal } from '../outcomes/outcome';
import { addressRoute } from './addressRoute';
import { RETRY_FLOOR } from './constants';
import { endRequest } from './endRequest';
import { openAttempt } from './openAttempt';
import { refusalOf } from './refusalOf';
import { refuse } from './refuse';
import type { Router, RouterDecision } from './router';
import type { RouterEffect } from './routerMessage';
import type { RunningRequest } from './runningRequest';
import { spendRetry } from './spendRetry';

/**
 * @param router the router
 * @param running the request, shut out from its last attempt
 * @param kvExports KV kvExports found on engines
 * @param at when, and randomness for the choice
 */
export function reopenRequest(
  router: Router,
  running: RunningRequest,
  kvExports: readonly KvExport[],
  at: { readonly atMs: number; readonly seed: number },
): RouterDecision {
  const route = router.options.chooseRoute(router, running, at.atMs);
  if (route === undefined) {
    return end(router, running, 'no-route', 'No usable engine can take the failed stage over');
  }
  const addressed = addressRoute(router.configuration, route, kvExports);
  const prefix = running.request.prompt.length + running.deliveredCount;
  const rerun = countRerun(addressed, prefix, running.layers);
  const whole = running.request.prompt.length + running.request.maxTokens;
  const retries = spendRetry(router.retries, Math.max(RETRY_FLOOR, rerun / whole));
  if (retries === undefined) {
    return end(router, running, 'retry-budget-spent', 'Too much work was repeated of late');
  }
  const opened = openAttempt({ ...router, retries }, running, route, addressed, at.atMs);
  return { state: opened.state, effects: [...opened.effects, ...countEffects(running, rerun)] };
}

/** Tokens that are run again, weighed by the part of the layers that runs them. */
function countRerun(stages: readonly AddressedStage[], prefix: number, layers: number): number {
  let tokens = 0;
  for (const { layers: range, kvImport } of stages) {
    const missing = prefix - Math.min(prefix, kvImport?.tokens ?? 0);
    tokens += (missing * (range.to - range.from)) / layers;
  }
  return tokens;
}

function countEffects(running: RunningRequest, rerun: number): readonly RouterEffect[] {
  const retry: RouterEffect = { type: 'count', counter: 'attempts_repeated', by: 1 };
  if (running.deliveredCount === 0) return [retry];
  return [retry, { type: 'count', counter: 'prefix_tokens_rerun', by: rerun }];
}

function end(
  router: Router,
  running: RunningRequest,
  reason: string,
  detail: string,
): RouterDecision {
  const refusal: Refusal = refusalOf(running, reason, detail);
  return endRequest(router, running, refuse(running.request.id, refusal));
}
