/**
 * Reducer of the operations component of a node. It dispatches an operation at most once in the fleet, and
 * every refusal states correctly whether anything ran.
 */

import { Map } from 'immutable';
import type { Handlers } from '../decisions/decision';
import { createReducer } from '../decisions/createReducer';
import { completeDispatch } from './completeDispatch';
import { completeForward } from './completeForward';
import { grantTicket } from './grantTicket';
import type { OperationEffect, OperationEvent } from './operationMessage';
import type { OperationsState } from './operationsState';
import { detectPause } from './detectPause';
import { receiveCall } from './receiveCall';
import { tick } from './tick';
import { fireTimer } from './fireTimer';
import { announceHandover } from './announceHandover';
import { chain } from './chain';
import { routeTableResult } from './routeTableResult';
import { scheduleRecording } from './scheduleRecording';
import { step, type OperationsStep } from './step';

const handlers: Handlers<OperationsState, OperationEvent, OperationEffect> = {
  'configuration-changed': (state, { configuration, atMs }) => {
    const next = { ...state, configuration };
    return state.tickedAtMs === undefined ? tick(next, atMs) : step(next);
  },
  'call-received': (state, event) => receiveCall(state, event.call, event),
  'backend-answered': completeDispatch,
  'backend-failed': completeDispatch,
  forwarded: completeForward,
  'ticket-asked': (state, { call, workspace }) => grantTicket(state, call, workspace),
  'operation-asked': (state, event) =>
    receiveCall(
      state,
      {
        call: event.call,
        workspace: event.workspace,
        operation: event.operation,
        asksOutcome: true,
        service: '',
        method: 'GET',
        path: '',
        body: '',
        contentType: '',
      },
      event,
    ),
  'vms-changed': (state, { vms }) => step({ ...state, vms }),
  'servers-changed': (state, { servers }) => {
    const health = Map(servers.map((server) => [server.server, server]));
    return step({ ...state, health });
  },
  'accepting-changed': (state, { isAccepting, reason }) =>
    step({ ...state, isAccepting, refusalReason: formatReason(reason) }),
  'drain-started': (state) => scheduleRecording({ ...state, isDraining: true }),
  'timer-fired': (state, event) => fireTimer(state, event.timer, event),
  transacted: routeTableResult,
  'rows-read': routeTableResult,
};

const reduce = createReducer(handlers);

/** Converts a reason in words to the stable name that callers see. */
function formatReason(reason: string): string {
  return reason.toLowerCase().replaceAll(/[^a-z0-9]+/g, '-');
}

/** Processes one event; the only entry point of this component. */
export function reduceOperations(state: OperationsState, event: OperationEvent): OperationsStep {
  return chain(
    state,
    (next) => detectPause(next, event.atMs),
    (next) => reduce(next, event),
    announceHandover,
  );
}
