/** Queries the status look-up of the next backend server for the outcome of an operation. */

import type { CallId } from '../decisions/primitive';
import { callBackend } from './callBackend';
import { STATUS_TIMEOUT_MS } from './operationLimits';
import type { OperationsState } from './operationsState';
import { refuseCall } from './refuseCall';
import { step, type OperationsStep } from './step';

/** Refuses the call as `unknown` if no server is left to query. */
export function queryStatus(state: OperationsState, id: CallId): OperationsStep {
  const resolution = state.resolutions.get(id);
  if (resolution === undefined) return step(state);
  const { call, contract, servers, reason } = resolution;
  const [server, ...remaining] = servers;
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
  const queried = { ...resolution, servers: remaining };
  const next = { ...state, resolutions: state.resolutions.set(id, queried) };
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
