/** Receives a call to a plain service from a caller or from the VM that forwarded it. */

import type { Occurrence } from '../decisions/primitive';
import { dispatchOperation } from './dispatchOperation';
import { findMethod } from './findMethod';
import type { PlainCall } from './operationMessage';
import type { OperationsState } from './operationsState';
import { parseOperationId } from './parseOperationId';
import { receiveKeyed } from './receiveKeyed';
import { receiveTicketed } from './receiveTicketed';
import { refuseCall } from './refuseCall';
import { startLookup } from './startLookup';
import type { OperationsStep } from './step';

/** Routes the call by its contract and its operation id. */
export function receiveCall(
  state: OperationsState,
  call: PlainCall,
  at: Occurrence,
): OperationsStep {
  const found = findMethod(state.configuration, call);
  if (found.type === 'found' && found.contract.isIdempotent && call.asksOutcome !== true) {
    return startLookup(state, call, found, at);
  }
  if (call.operation === undefined) {
    if (found.type === 'missing') return refuseCall(state, call.call, found.refusal);
    return dispatchOperation(state, { ...createAnonymousOperation(state, call), ...found }, at);
  }
  const id = parseOperationId(call.operation, state.options.ticketKeys);
  if (id.type === 'invalid') return refuseId(state, call, 'operation-id-invalid', id.detail);
  if (id.type === 'own-key') return receiveKeyed(state, call, found, at);
  if (id.ticket.workspace !== call.workspace) {
    const detail = 'The ticket was granted to another workspace';
    return refuseId(state, call, 'ticket-of-another-workspace', detail);
  }
  return receiveTicketed(state, call, found, id, at);
}

function createAnonymousOperation(state: OperationsState, call: PlainCall) {
  const { vm, incarnation } = state.options;
  const key = `/${vm}/${incarnation}/${call.call}`;
  return { key, origin: { type: 'anonymous' }, call, waiters: [call.call] } as const;
}

function refuseId(
  state: OperationsState,
  call: PlainCall,
  reason: string,
  detail: string,
): OperationsStep {
  return refuseCall(state, call.call, { outcome: 'failed', reason, detail });
}
