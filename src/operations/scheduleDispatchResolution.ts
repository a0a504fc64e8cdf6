/**
 * Schedules the resolution of an ambiguous dispatch if the contract allows it: by a repeat under the
 * same key at the same backend server, or by its status look-up. Neither can prove that nothing ran.
 */

import type { BackendOutcome } from './backendOutcome';
import { completeOperation } from './completeOperation';
import { MAX_RESOLVE_TRIES, RESOLVE_DELAY_MS } from './operationLimits';
import type { OperationsState, RunningOperation } from './operationsState';
import { step, type OperationsStep } from './step';

/** Sets the timer for the next try, or completes the operation as `unknown` if none is left. */
export function scheduleDispatchResolution(
  state: OperationsState,
  running: RunningOperation,
  outcome: Extract<BackendOutcome, { readonly type: 'unknown' | 'error' | 'not-run' }>,
  atMs: number,
): OperationsStep {
  const { contract, resolveTries, key } = running;
  const canResolve = contract.honoursIdempotencyKey || contract.statusPath !== undefined;
  if (!canResolve || resolveTries >= MAX_RESOLVE_TRIES) {
    const reason = formatReason(outcome);
    const refusal = { outcome: 'unknown', reason, detail: outcome.detail } as const;
    return completeOperation(state, running, { type: 'refused', refusal }, atMs);
  }
  const afterMs = RESOLVE_DELAY_MS * 2 ** resolveTries;
  const next = { ...running, resolveTries: resolveTries + 1 };
  return step(
    { ...state, running: state.running.set(key, next) },
    { type: 'set-timer', timer: `settle ${key}`, afterMs },
  );
}

type AmbiguousOutcome = Parameters<typeof scheduleDispatchResolution>[2];

function formatReason(outcome: AmbiguousOutcome): string {
  if (outcome.type === 'unknown') return `backend-${outcome.reason}`;
  return outcome.type === 'error' ? 'backend-error' : 'backend-unsettled';
}
