/** Starts a call to a backend server and records the dispatch that its answer belongs to. */

import type { Dispatch, OperationsState } from './operationsState';
import { step, type OperationsStep } from './step';

/** Content and time limit of a request to a backend server. */
export interface BackendCall {
  readonly method: string;
  readonly path: string;
  readonly body: string;
  readonly contentType: string;
  readonly key?: string;
  readonly timeoutMs: number;
}

/** Sends `call` to the server of `dispatch`, which must be in the configuration. */
export function callBackend(
  state: OperationsState,
  dispatch: Dispatch,
  call: BackendCall,
): OperationsStep {
  const server = state.configuration.backendServer.get(dispatch.server);
  if (server === undefined) throw new RangeError(`No backend server ${dispatch.server}`);
  const id = `d${state.nextCall}`;
  const next = {
    ...state,
    nextCall: state.nextCall + 1,
    dispatches: state.dispatches.set(id, dispatch),
    inFlight: state.inFlight.update(dispatch.server, 0, (running) => running + 1),
  };
  return step(next, {
    type: 'call-backend',
    dispatch: id,
    server: server.id,
    address: server.address,
    ...call,
  });
}
