/** Applies the outcome of a call to a backend server to the operation or look-up that made it. */

import type { Occurrence } from '../decisions/primitive';
import type { BackendOutcome } from './backendOutcome';
import { chain } from './chain';
import { completeLookupTry } from './completeLookupTry';
import { applyStatusAnswer } from './applyStatusAnswer';
import { completeOperation } from './completeOperation';
import type { OperationEvent } from './operationMessage';
import { RETRY_AFTER_MS } from './operationLimits';
import type { Dispatch, OperationsState, RunningOperation } from './operationsState';
import { classifyBackendOutcome } from './classifyBackendOutcome';
import { scheduleDispatchResolution } from './scheduleDispatchResolution';
import { step, type OperationsStep } from './step';

type BackendEvent = Extract<
  OperationEvent,
  { readonly type: 'backend-answered' | 'backend-failed' }
>;

/** Routes the outcome by the type of dispatch; an outcome of an unknown dispatch is only counted. */
export function completeDispatch(state: OperationsState, event: BackendEvent): OperationsStep {
  const dispatch = state.dispatches.get(event.dispatch);
  if (dispatch === undefined) {
    return step(state, { type: 'count', counter: 'late_backend_answers', by: 1 });
  }
  const outcome = classifyBackendOutcome(event);
  const next = {
    ...state,
    dispatches: state.dispatches.delete(event.dispatch),
    inFlight: decrementInFlight(state, dispatch.server),
  };
  return chain(
    next,
    (after) => observeServer(after, dispatch, event),
    (after) => completeByType(after, dispatch, outcome, event),
  );
}

function decrementInFlight(state: OperationsState, server: string): OperationsState['inFlight'] {
  const left = state.inFlight.get(server, 1) - 1;
  return left === 0 ? state.inFlight.delete(server) : state.inFlight.set(server, left);
}

function observeServer(
  state: OperationsState,
  dispatch: Dispatch,
  event: BackendEvent,
): OperationsStep {
  const observation = classifyObservation(event);
  if (observation === undefined) return step(state);
  return step(state, { type: 'observe-server', server: dispatch.server, observation });
}

function classifyObservation(event: BackendEvent): 'served' | 'failed' | 'slow' | undefined {
  if (event.type === 'backend-failed') return event.failure === 'timeout' ? 'slow' : 'failed';
  if (event.notRun) return undefined;
  return event.answer.status >= 500 ? 'failed' : 'served';
}

function completeByType(
  state: OperationsState,
  dispatch: Dispatch,
  outcome: BackendOutcome,
  at: Occurrence,
): OperationsStep {
  if (dispatch.type === 'lookup') return completeLookupTry(state, dispatch, outcome, at);
  if (dispatch.type === 'resolution') return applyStatusAnswer(state, dispatch.call, outcome);
  const running = state.running.get(dispatch.key);
  if (running === undefined) return step(state);
  const complete = {
    operation: completeFirstDispatch,
    repeat: completeRepeat,
    status: completeStatusQuery,
  } as const;
  return complete[dispatch.type](state, running, outcome, at.atMs);
}

function completeFirstDispatch(
  state: OperationsState,
  running: RunningOperation,
  outcome: BackendOutcome,
  atMs: number,
): OperationsStep {
  if (outcome.type === 'answered') return completeOperation(state, running, outcome, atMs);
  if (outcome.type !== 'not-run') return scheduleDispatchResolution(state, running, outcome, atMs);
  const { reason, detail } = outcome;
  const refusal = { outcome: 'not-run', reason, detail, retryAfterMs: RETRY_AFTER_MS } as const;
  return completeOperation(state, running, { type: 'refused', refusal }, atMs);
}

/** A repeat that did not run does not prove that the first dispatch did not run. */
function completeRepeat(
  state: OperationsState,
  running: RunningOperation,
  outcome: BackendOutcome,
  atMs: number,
): OperationsStep {
  if (outcome.type === 'answered') return completeOperation(state, running, outcome, atMs);
  return scheduleDispatchResolution(state, running, outcome, atMs);
}

/** Only a 200 resolves the dispatch: a call that the server does not know may still be in transit. */
function completeStatusQuery(
  state: OperationsState,
  running: RunningOperation,
  outcome: BackendOutcome,
  atMs: number,
): OperationsStep {
  if (outcome.type === 'answered' && outcome.answer.status === 200) {
    return completeOperation(state, running, outcome, atMs);
  }
  const detail = 'The status look-up of the backend server does not know the operation';
  return scheduleDispatchResolution(
    state,
    running,
    { type: 'unknown', reason: 'reset', detail },
    atMs,
  );
}
