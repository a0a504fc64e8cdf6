/** Hands the home's answer to the caller, or looks for the outcome where the home did not answer. */

import type { OperationEvent } from './operationMessage';
import type { OperationsState } from './operationsState';
import { resolveOutcome } from './resolveOutcome';
import { step, type OperationsStep } from './step';

type Forwarded = Extract<OperationEvent, { readonly type: 'forwarded' }>;

/** Ends a forward; this VM never runs the operation itself. */
export function finishForward(state: OperationsState, event: Forwarded): OperationsStep {
  const call = state.forwards.get(event.call);
  if (call === undefined) return step(state);
  const next = { ...state, forwards: state.forwards.delete(event.call) };
  const { result } = event;
  if (result.type === 'answered' || result.type === 'refused') {
    return step(next, { type: 'answer', call: event.call, result });
  }
  return resolveOutcome(next, call, `home-${result.type}`);
}
