/** Refuses a single call, without effect on any operation. */

import type { CallId } from '../decisions/primitive';
import type { Refusal } from '../outcomes/outcome';
import type { OperationsState } from './operationsState';
import { step, type OperationsStep } from './step';

/** Answers the call with the refusal and counts it. */
export function refuseCall(state: OperationsState, call: CallId, refusal: Refusal): OperationsStep {
  return step(
    state,
    { type: 'answer', call, result: { type: 'refused', refusal } },
    countRefusal(refusal),
  );
}

function countRefusal(refusal: Refusal) {
  const labels = { outcome: refusal.outcome, reason: refusal.reason };
  return { type: 'count', counter: 'operation_refusals', by: 1, labels } as const;
}
