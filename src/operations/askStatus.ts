/** Asks the next backend server's status look-up how an operation ended, or gives up. */

import type { CallId } from '../decisions/primitive';
import { callBackend } from './callBackend';
import { STATUS_TIMEOUT_MS } from './operationLimits';
import type { OperationsState } from './operationsState';
import { refuseCall } from './refuseCall';
import { step, type OperationsStep } from './step';

/** Without a server left to ask, the outcome is `unknown`. */
export function askStatus(state: OperationsState, id: CallId): OperationsStep {
  const resolution = state.resolutions.get(id);
  if (resolution === undefined) return step(state);
  const { call, contract, servers, reason } = resolution;
  const [server, ...rest] = servers;
  const path = contract?.statusPath;
  if (
    server === undefined ||
    path === undefined ||
    !state.configuration.backendServer.has(server)
  ) {
    const detail = 'It may have run; neither its home, the table nor a status look-up can tell';
    const next = { ...state, resolutions: state.resolutions.delete(id) };
    return refuseCall(next, id, { outcome: 'unknown', reason, detail });
  }
  const asked = { ...resolution, servers: rest };
  const next = { ...state, resolutions: state.resolutions.set(id, asked) };
  return callBackend(
    next,
    { type: 'resolution', call: id, server },
    {
      method: 'GET',
      path: path.replace('{id}', encodeURIComponent(call.operation ?? '')),
      body: '',
      contentType: '',
      timeoutMs: STATUS_TIMEOUT_MS,
    },
  );
}
