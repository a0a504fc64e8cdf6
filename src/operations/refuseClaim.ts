/** Ends a claim for which nothing was dispatched. */

import { chain } from './chain';
import { fingerprintCall } from './fingerprintCall';
import { RETRY_AFTER_MS } from './operationLimits';
import type { Claim, OperationsState } from './operationsState';
import { refuseCall } from './refuseCall';
import { releaseClaim } from './releaseClaim';
import { step, type OperationsStep } from './step';

/** Refuses all waiters as not-run; releases the key if an insert may have taken effect unnoticed. */
export function refuseClaim(state: OperationsState, claim: Claim, reason: string): OperationsStep {
  const { key, token, call, waiters, isAmbiguous } = claim;
  const detail = 'The key could not be claimed, so nothing was sent';
  const refusal = { outcome: 'not-run', reason, detail, retryAfterMs: RETRY_AFTER_MS } as const;
  return chain(
    { ...state, claims: state.claims.delete(key) },
    (next) => (isAmbiguous ? releaseClaim(next, key, token, fingerprintCall(call)) : step(next)),
    ...waiters.map((waiter) => (next: OperationsState) => refuseCall(next, waiter, refusal)),
  );
}
