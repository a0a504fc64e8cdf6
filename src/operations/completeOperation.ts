/** Completes a dispatched operation: its callers and any later repeat receive the same result. */

import { chain } from './chain';
import type { CallResult } from './operationMessage';
import type { OperationsState, RunningOperation } from './operationsState';
import { refuseCall } from './refuseCall';
import { releaseClaim } from './releaseClaim';
import { retainResult } from './retainResult';
import { step, type OperationsStep } from './step';

/** Retains the result and answers all waiting calls. */
export function completeOperation(
  state: OperationsState,
  running: RunningOperation,
  result: CallResult,
  atMs: number,
): OperationsStep {
  return chain(
    state,
    (next) => step({ ...next, running: next.running.delete(running.key) }),
    (next) => retainOrRelease(next, running, result, atMs),
    ...running.waiters.map((call) => (next: OperationsState) => answerCall(next, call, result)),
  );
}

function answerCall(state: OperationsState, call: string, result: CallResult): OperationsStep {
  if (result.type === 'refused') return refuseCall(state, call, result.refusal);
  return step(
    state,
    { type: 'answer', call, result },
    { type: 'count', counter: 'operations_answered', by: 1 },
  );
}

function retainOrRelease(
  state: OperationsState,
  running: RunningOperation,
  result: CallResult,
  atMs: number,
): OperationsStep {
  const { key, origin, fingerprint } = running;
  if (origin.type === 'anonymous') return step(state);
  const isNotRun = result.type === 'refused' && result.refusal.outcome === 'not-run';
  if (origin.type === 'claim' && isNotRun) {
    return releaseClaim(state, key, origin.token, fingerprint, origin.version);
  }
  return retainResult(state, {
    key,
    origin,
    fingerprint,
    result,
    finishedAtMs: atMs,
    isTombstone: false,
  });
}
