/** Completes the search for an outcome with a recorded result. */

import type { CallId } from '../decisions/primitive';
import { fingerprintCall } from './fingerprintCall';
import type { CallResult } from './operationMessage';
import type { OperationsState } from './operationsState';
import { refuseCall } from './refuseCall';
import { step, type OperationsStep } from './step';

/** Answers with the result, or refuses the call if its content differs from that of the operation. */
export function completeResolution(
  state: OperationsState,
  id: CallId,
  fingerprint: string,
  result: CallResult,
): OperationsStep {
  const resolution = state.resolutions.get(id);
  if (resolution === undefined) return step(state);
  const { call } = resolution;
  const next = { ...state, resolutions: state.resolutions.delete(id) };
  if (call.asksOutcome !== true && fingerprintCall(call) !== fingerprint) {
    const detail = 'The id belongs to an operation with another service, method, path or body';
    return refuseCall(next, id, { outcome: 'failed', reason: 'operation-id-reused', detail });
  }
  const counted = { type: 'count', counter: 'operations_resolved', by: 1 } as const;
  return step(next, { type: 'answer', call: id, result }, counted);
}
