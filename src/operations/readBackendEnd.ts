/** Reads what the end of a call to a backend server proves. */

import type { BackendEnd } from './backendEnd';
import type { OperationEvent } from './operationMessage';

/** Lowest HTTP status by which a server says that it failed. */
const SERVER_ERROR = 500;

type EndEvent = Extract<OperationEvent, { readonly type: 'backend-answered' | 'backend-failed' }>;

/** Only a server's own proof, or a connection that was never made, means that nothing ran. */
export function readBackendEnd(event: EndEvent): BackendEnd {
  if (event.type === 'backend-failed') return readFailure(event);
  const { answer, notRun } = event;
  const detail = `The backend server answered ${answer.status}`;
  if (notRun) return { type: 'not-run', reason: 'backend-refused', detail };
  if (answer.status >= SERVER_ERROR) return { type: 'error', answer, detail };
  return { type: 'answered', answer };
}

function readFailure(event: Extract<EndEvent, { readonly type: 'backend-failed' }>): BackendEnd {
  const { failure, detail } = event;
  if (failure === 'unreachable') return { type: 'not-run', reason: 'backend-unreachable', detail };
  return { type: 'unknown', reason: failure, detail };
}
