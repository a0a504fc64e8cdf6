/** Passes the answer of the peer to the caller, or searches for the outcome if the peer did not answer. */

import type { OperationEvent } from './operationMessage';
import type { OperationsState } from './operationsState';
import { resolveOutcome } from './resolveOutcome';
import { step, type OperationsStep } from './step';

type Forwarded = Extract<OperationEvent, { readonly type: 'forwarded' }>;

/** Completes a forward; this VM never dispatches the operation itself. */
export function completeForward(state: OperationsState, event: Forwarded): OperationsStep {
  const call = state.forwards.get(event.call);
  if (call === undefined) return step(state);
  const next = { ...state, forwards: state.forwards.delete(event.call) };
  const { result } = event;
  if (result.type === 'answered' || result.type === 'refused') {
    return step(next, { type: 'answer', call: event.call, result });
  }
  return resolveOutcome(next, call, `home-${result.type}`);
}
