/** Queries the backend server for the outcome of an ambiguous dispatch. */

import { callBackend } from './callBackend';
import { isUsable } from './isUsable';
import { STATUS_TIMEOUT_MS } from './operationLimits';
import type { OperationKey, OperationsState } from './operationsState';
import { scheduleDispatchResolution } from './scheduleDispatchResolution';
import { step, type OperationsStep } from './step';

/** Repeats the call under its key if the contract allows it, else queries the status look-up. */
export function resolveDispatch(
  state: OperationsState,
  key: OperationKey,
  atMs: number,
): OperationsStep {
  const running = state.running.get(key);
  if (running === undefined) return step(state);
  const { contract, call, server } = running;
  const id = call.operation ?? key;
  if (contract.honoursIdempotencyKey && isUsable(state, server)) {
    const { method, path, body, contentType } = call;
    const repeat = { method, path, body, contentType, key: id, timeoutMs: contract.timeoutMs };
    return callBackend(state, { type: 'repeat', key, server }, repeat);
  }
  if (contract.statusPath === undefined || !state.configuration.backendServer.has(server)) {
    const detail = `Backend server ${server} can't be asked again`;
    return scheduleDispatchResolution(
      state,
      running,
      { type: 'unknown', reason: 'reset', detail },
      atMs,
    );
  }
  return callBackend(
    state,
    { type: 'status', key, server },
    {
      method: 'GET',
      path: contract.statusPath.replace('{id}', encodeURIComponent(id)),
      body: '',
      contentType: '',
      timeoutMs: STATUS_TIMEOUT_MS,
    },
  );
}
