/** What the end of a call to a backend server means for the operation or look-up behind it. */

import type { Occurrence } from '../decisions/primitive';
import type { BackendEnd } from './backendEnd';
import { chain } from './chain';
import { finishLookup } from './finishLookup';
import { finishStatus } from './finishStatus';
import { finishOperation } from './finishOperation';
import type { OperationEvent } from './operationMessage';
import { RETRY_AFTER_MS } from './operationLimits';
import type { Dispatch, OperationsState, RunningOperation } from './operationsState';
import { readBackendEnd } from './readBackendEnd';
import { settleOperation } from './settleOperation';
import { step, type OperationsStep } from './step';

type EndEvent = Extract<OperationEvent, { readonly type: 'backend-answered' | 'backend-failed' }>;

/** Hands the end to the handler of its kind of dispatch; an end that nobody waits for is counted. */
export function finishDispatch(state: OperationsState, event: EndEvent): OperationsStep {
  const dispatch = state.dispatches.get(event.dispatch);
  if (dispatch === undefined) {
    return step(state, { type: 'count', counter: 'late_backend_answers', by: 1 });
  }
  const end = readBackendEnd(event);
  const next = {
    ...state,
    dispatches: state.dispatches.delete(event.dispatch),
    inFlight: lessInFlight(state, dispatch.server),
  };
  return chain(
    next,
    (after) => observeServer(after, dispatch, event),
    (after) => handOn(after, dispatch, end, event),
  );
}

function lessInFlight(state: OperationsState, server: string): OperationsState['inFlight'] {
  const left = state.inFlight.get(server, 1) - 1;
  return left === 0 ? state.inFlight.delete(server) : state.inFlight.set(server, left);
}

function observeServer(
  state: OperationsState,
  dispatch: Dispatch,
  event: EndEvent,
): OperationsStep {
  const observation = readObservation(event);
  if (observation === undefined) return step(state);
  return step(state, { type: 'observe-server', server: dispatch.server, observation });
}

function readObservation(event: EndEvent): 'served' | 'failed' | 'slow' | undefined {
  if (event.type === 'backend-failed') return event.failure === 'timeout' ? 'slow' : 'failed';
  if (event.notRun) return undefined;
  return event.answer.status >= 500 ? 'failed' : 'served';
}

function handOn(
  state: OperationsState,
  dispatch: Dispatch,
  end: BackendEnd,
  at: Occurrence,
): OperationsStep {
  if (dispatch.type === 'lookup') return finishLookup(state, dispatch, end, at);
  if (dispatch.type === 'resolution') return finishStatus(state, dispatch.call, end);
  const running = state.running.get(dispatch.key);
  if (running === undefined) return step(state);
  const finish = { operation: finishFirst, repeat: finishRepeat, status: finishOwnStatus } as const;
  return finish[dispatch.type](state, running, end, at.atMs);
}

function finishFirst(
  state: OperationsState,
  running: RunningOperation,
  end: BackendEnd,
  atMs: number,
): OperationsStep {
  if (end.type === 'answered') return finishOperation(state, running, end, atMs);
  if (end.type !== 'not-run') return settleOperation(state, running, end, atMs);
  const { reason, detail } = end;
  const refusal = { outcome: 'not-run', reason, detail, retryAfterMs: RETRY_AFTER_MS } as const;
  return finishOperation(state, running, { type: 'refused', refusal }, atMs);
}

/** A repeat that did not run proves nothing about the first dispatch. */
function finishRepeat(
  state: OperationsState,
  running: RunningOperation,
  end: BackendEnd,
  atMs: number,
): OperationsStep {
  if (end.type === 'answered') return finishOperation(state, running, end, atMs);
  return settleOperation(state, running, end, atMs);
}

/** Only a 200 settles it: a call that the server does not know may still be on its way. */
function finishOwnStatus(
  state: OperationsState,
  running: RunningOperation,
  end: BackendEnd,
  atMs: number,
): OperationsStep {
  if (end.type === 'answered' && end.answer.status === 200) {
    return finishOperation(state, running, end, atMs);
  }
  const detail = 'The status look-up of the backend server does not know the operation';
  return settleOperation(state, running, { type: 'unknown', reason: 'reset', detail }, atMs);
}
