/** Answers a repeat of an operation that is running or whose result is retained here. */

import { fingerprintCall } from './fingerprintCall';
import type { PlainCall } from './operationMessage';
import { MAX_WAITERS, RETRY_AFTER_MS } from './operationLimits';
import type { OperationKey, OperationsState } from './operationsState';
import { refuseCall } from './refuseCall';
import { step, type OperationsStep } from './step';

/**
 * Answers with the result of a finished operation, or adds the call to the waiters of a running one.
 *
 * @returns undefined if no operation with this key is in memory
 */
export function joinOperation(
  state: OperationsState,
  key: OperationKey,
  call: PlainCall,
): OperationsStep | undefined {
  const known = state.running.get(key) ?? state.retained.get(key);
  if (known === undefined) return undefined;
  if (call.asksOutcome !== true && known.fingerprint !== fingerprintCall(call)) {
    return refuseCall(state, call.call, reusedId);
  }
  if ('result' in known) {
    const counted = { type: 'count', counter: 'operation_repeats', by: 1 } as const;
    return step(state, { type: 'answer', call: call.call, result: known.result }, counted);
  }
  if (known.waiters.length >= MAX_WAITERS) return refuseCall(state, call.call, stillRunning);
  const waiters = [...known.waiters, call.call];
  return step({ ...state, running: state.running.set(key, { ...known, waiters }) });
}

const reusedId = {
  outcome: 'failed',
  reason: 'operation-id-reused',
  detail: 'The id belongs to an operation with another service, method, path or body',
} as const;

const stillRunning = {
  outcome: 'unknown',
  reason: 'still-running',
  detail: `The operation runs, and too many calls wait for it; ask again in ${RETRY_AFTER_MS} ms`,
} as const;
