/** Classifies the outcome of a call to a backend server. */

import type { BackendOutcome } from './backendOutcome';
import type { OperationEvent } from './operationMessage';

/** Lowest HTTP status of a server error. */
const SERVER_ERROR = 500;

type BackendEvent = Extract<
  OperationEvent,
  { readonly type: 'backend-answered' | 'backend-failed' }
>;

/** Reports `not-run` only if the server states that nothing ran or no connection was made. */
export function classifyBackendOutcome(event: BackendEvent): BackendOutcome {
  if (event.type === 'backend-failed') return readFailure(event);
  const { answer, notRun } = event;
  const detail = `The backend server answered ${answer.status}`;
  if (notRun) return { type: 'not-run', reason: 'backend-refused', detail };
  if (answer.status >= SERVER_ERROR) return { type: 'error', answer, detail };
  return { type: 'answered', answer };
}

function readFailure(
  event: Extract<BackendEvent, { readonly type: 'backend-failed' }>,
): BackendOutcome {
  const { failure, detail } = event;
  if (failure === 'unreachable') return { type: 'not-run', reason: 'backend-unreachable', detail };
  return { type: 'unknown', reason: failure, detail };
}
