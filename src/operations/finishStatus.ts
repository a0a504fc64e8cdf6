/** What a backend server's status look-up means for the search for an outcome. */

import type { CallId } from '../decisions/primitive';
import { askStatus } from './askStatus';
import type { BackendEnd } from './backendEnd';
import type { OperationsState } from './operationsState';
import { step, type OperationsStep } from './step';

/** Status by which a server says that it knows the operation. */
const KNOWN = 200;

/** Answers with what the server knows, or asks the next one. */
export function finishStatus(state: OperationsState, id: CallId, end: BackendEnd): OperationsStep {
  if (!state.resolutions.has(id)) return step(state);
  if (end.type !== 'answered' || end.answer.status !== KNOWN) return askStatus(state, id);
  const next = { ...state, resolutions: state.resolutions.delete(id) };
  const counted = { type: 'count', counter: 'operations_resolved', by: 1 } as const;
  const result = { type: 'answered', answer: end.answer } as const;
  return step(next, { type: 'answer', call: id, result }, counted);
}
