/** Applies the answer of a backend server's status look-up to the search for an outcome. */

import type { CallId } from '../decisions/primitive';
import { queryStatus } from './queryStatus';
import type { BackendOutcome } from './backendOutcome';
import type { OperationsState } from './operationsState';
import { step, type OperationsStep } from './step';

/** Status with which a server confirms that it knows the operation. */
const HTTP_OK = 200;

/** Answers the call with the server's answer, or queries the next server. */
export function applyStatusAnswer(
  state: OperationsState,
  id: CallId,
  outcome: BackendOutcome,
): OperationsStep {
  if (!state.resolutions.has(id)) return step(state);
  if (outcome.type !== 'answered' || outcome.answer.status !== HTTP_OK)
    return queryStatus(state, id);
  const next = { ...state, resolutions: state.resolutions.delete(id) };
  const counted = { type: 'count', counter: 'operations_resolved', by: 1 } as const;
  const result = { type: 'answered', answer: outcome.answer } as const;
  return step(next, { type: 'answer', call: id, result }, counted);
}
