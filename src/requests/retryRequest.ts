/** Opens the next attempt of a request after a failure, on a repaired route. */

import type { AddressedStage, KvExport } from '../contracts/engineContract';
import type { Refusal } from '../outcomes/outcome';
import { addressRoute } from './addressRoute';
import { MIN_RETRY_COST } from './constants';
import { endRequest } from './endRequest';
import { openAttempt } from './openAttempt';
import { createRefusal } from './createRefusal';
import { createRefusalEffects } from './createRefusalEffects';
import type { Router, RouterDecision } from './router';
import type { RouterEffect } from './routerMessage';
import type { RunningRequest } from './runningRequest';
import { spendRetryCredit } from './spendRetryCredit';

/**
 * @param router the router
 * @param running the request, whose last attempt is superseded
 * @param kvExports KV exports found on engines
 * @param at the current time, and a random seed
 */
export function retryRequest(
  router: Router,
  running: RunningRequest,
  kvExports: readonly KvExport[],
  at: { readonly atMs: number; readonly seed: number },
): RouterDecision {
  const route = router.options.chooseRoute(router, running, at.atMs);
  if (route === undefined) {
    return refuseRequest(
      router,
      running,
      'no-route',
      'No usable engine can take the failed stage over',
    );
  }
  const addressed = addressRoute(router.configuration, route, kvExports);
  const prefix = running.request.prompt.length + running.deliveredCount;
  const rerun = countRerun(addressed, prefix, running.layers);
  const total = running.request.prompt.length + running.request.maxTokens;
  const retries = spendRetryCredit(router.retries, Math.max(MIN_RETRY_COST, rerun / total));
  if (retries === undefined) {
    return refuseRequest(
      router,
      running,
      'retry-budget-spent',
      'Too much work was repeated of late',
    );
  }
  const opened = openAttempt({ ...router, retries }, running, route, addressed, at.atMs);
  return {
    state: opened.state,
    effects: [...opened.effects, ...createRetryCounters(running, rerun)],
  };
}

/** Counts the tokens to run again, weighted by the fraction of the layers that runs them. */
function countRerun(stages: readonly AddressedStage[], prefix: number, layers: number): number {
  let tokens = 0;
  for (const { layers: range, kvImport } of stages) {
    const missing = prefix - Math.min(prefix, kvImport?.tokens ?? 0);
    tokens += (missing * (range.to - range.from)) / layers;
  }
  return tokens;
}

function createRetryCounters(running: RunningRequest, rerun: number): readonly RouterEffect[] {
  const retry: RouterEffect = { type: 'count', counter: 'attempts_repeated', by: 1 };
  if (running.deliveredCount === 0) return [retry];
  return [retry, { type: 'count', counter: 'prefix_tokens_rerun', by: rerun }];
}

function refuseRequest(
  router: Router,
  running: RunningRequest,
  reason: string,
  detail: string,
): RouterDecision {
  const refusal: Refusal = createRefusal(running, reason, detail);
  return endRequest(router, running, createRefusalEffects(running.request.id, refusal));
}
