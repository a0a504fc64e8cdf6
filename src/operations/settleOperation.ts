/**
 * Turns an ambiguous dispatch into an answer where the contract allows it: by a repeat under the same
 * key at the same backend server, or by its status look-up. Neither can prove that nothing ran.
 */

import type { BackendEnd } from './backendEnd';
import { finishOperation } from './finishOperation';
import { MAX_SETTLE_TRIES, SETTLE_DELAY_MS } from './operationLimits';
import type { OperationsState, RunningOperation } from './operationsState';
import { step, type OperationsStep } from './step';

/** Waits for the next try, or gives the operation up as `unknown`. */
export function settleOperation(
  state: OperationsState,
  running: RunningOperation,
  end: Extract<BackendEnd, { readonly type: 'unknown' | 'error' | 'not-run' }>,
  atMs: number,
): OperationsStep {
  const { contract, settleTries, key } = running;
  const canSettle = contract.honoursIdempotencyKey || contract.statusPath !== undefined;
  if (!canSettle || settleTries >= MAX_SETTLE_TRIES) {
    const reason = nameReason(end);
    const refusal = { outcome: 'unknown', reason, detail: end.detail } as const;
    return finishOperation(state, running, { type: 'refused', refusal }, atMs);
  }
  const afterMs = SETTLE_DELAY_MS * 2 ** settleTries;
  const next = { ...running, settleTries: settleTries + 1 };
  return step(
    { ...state, running: state.running.set(key, next) },
    { type: 'set-timer', timer: `settle ${key}`, afterMs },
  );
}

type Unsettled = Parameters<typeof settleOperation>[2];

function nameReason(end: Unsettled): string {
  if (end.type === 'unknown') return `backend-${end.reason}`;
  return end.type === 'error' ? 'backend-error' : 'backend-unsettled';
}
