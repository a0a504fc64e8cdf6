/** Ends a dispatched operation: its callers get the result, and a repeat will get the same one. */

import { chain } from './chain';
import type { CallResult } from './operationMessage';
import type { OperationsState, RunningOperation } from './operationsState';
import { refuseCall } from './refuseCall';
import { releaseClaim } from './releaseClaim';
import { rememberResult } from './rememberResult';
import { step, type OperationsStep } from './step';

/** Gives the result to everyone who waits and remembers it. */
export function finishOperation(
  state: OperationsState,
  running: RunningOperation,
  result: CallResult,
  atMs: number,
): OperationsStep {
  return chain(
    state,
    (next) => step({ ...next, running: next.running.delete(running.key) }),
    (next) => keepResult(next, running, result, atMs),
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

function keepResult(
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
  return rememberResult(state, {
    key,
    origin,
    fingerprint,
    result,
    finishedAtMs: atMs,
    isShut: false,
  });
}
