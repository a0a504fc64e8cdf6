/**
 * The decisions of the operations side of a node: what must not repeat leaves the fleet at most once,
 * and every refusal says truly whether anything ran.
 */

import { Map } from 'immutable';
import type { Handlers } from '../decisions/decision';
import { createReducer } from '../decisions/createReducer';
import { finishDispatch } from './finishDispatch';
import { finishForward } from './finishForward';
import { grantTicket } from './grantTicket';
import type { OperationEffect, OperationEvent } from './operationMessage';
import type { OperationsState } from './operationsState';
import { noticePause } from './noticePause';
import { receiveCall } from './receiveCall';
import { tick } from './tick';
import { fireTimer } from './fireTimer';
import { announceHandover } from './announceHandover';
import { chain } from './chain';
import { finishTableCall } from './finishTableCall';
import { scheduleRecording } from './scheduleRecording';
import { step, type OperationsStep } from './step';

const handlers: Handlers<OperationsState, OperationEvent, OperationEffect> = {
  'configuration-changed': (state, { configuration, atMs }) => {
    const next = { ...state, configuration };
    return state.tickedAtMs === undefined ? tick(next, atMs) : step(next);
  },
  'call-received': (state, event) => receiveCall(state, event.call, event),
  'backend-answered': finishDispatch,
  'backend-failed': finishDispatch,
  forwarded: finishForward,
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
    step({ ...state, isAccepting, refusalReason: nameReason(reason) }),
  'drain-started': (state) => scheduleRecording({ ...state, isDraining: true }),
  'timer-fired': (state, event) => fireTimer(state, event.timer, event),
  transacted: finishTableCall,
  'rows-read': finishTableCall,
};

const reduce = createReducer(handlers);

/** A reason in words as the stable name that callers see. */
function nameReason(reason: string): string {
  return reason.toLowerCase().replaceAll(/[^a-z0-9]+/g, '-');
}

/** Decides on one event; the only entry to this side. */
export function reduceOperations(state: OperationsState, event: OperationEvent): OperationsStep {
  return chain(
    state,
    (next) => noticePause(next, event.atMs),
    (next) => reduce(next, event),
    announceHandover,
  );
}
