/** Receives a call under a ticket: the owner answers or dispatches it, any other VM forwards it. */

import type { Occurrence } from '../decisions/primitive';
import { dispatchOperation } from './dispatchOperation';
import type { FoundMethod } from './findMethod';
import { isBelowWatermark } from './isBelowWatermark';
import { joinOperation } from './joinOperation';
import { formatOperationKey } from './formatOperationKey';
import type { PlainCall } from './operationMessage';
import type { OperationsState } from './operationsState';
import type { ParsedOperationId } from './parseOperationId';
import { refuseOperation } from './refuseOperation';
import { resolveOutcome } from './resolveOutcome';
import { step, type OperationsStep } from './step';

type TicketedId = Extract<ParsedOperationId, { readonly type: 'ticketed' }>;

/** Expects a ticket that has been verified and belongs to the workspace of the call. */
export function receiveTicketed(
  state: OperationsState,
  call: PlainCall,
  found: FoundMethod,
  id: TicketedId,
  at: Occurrence,
): OperationsStep {
  const { ticket } = id;
  const { vm, incarnation } = state.options;
  if (ticket.vm === vm && ticket.incarnation === incarnation) {
    return receiveAsOwner(state, call, found, id, at);
  }
  const owner = state.vms.find(
    (peer) => peer.id === ticket.vm && peer.incarnation === ticket.incarnation,
  );
  if (owner === undefined || owner.id === vm || call.forwardedBy !== undefined) {
    return resolveOutcome(state, call, 'home-gone');
  }
  const next = { ...state, forwards: state.forwards.set(call.call, call) };
  return step(next, { type: 'forward', vm: owner, call });
}

function receiveAsOwner(
  state: OperationsState,
  call: PlainCall,
  found: FoundMethod,
  id: TicketedId,
  at: Occurrence,
): OperationsStep {
  const key = formatOperationKey(call.workspace, call.operation ?? '');
  const joined = joinOperation(state, key, call);
  if (joined !== undefined) return joined;
  const { serial } = id.ticket;
  if (isBelowWatermark(state, serial, id.sequence)) return resolveOutcome(state, call, 'forgotten');
  const origin = { type: 'ticket', serial, sequence: id.sequence } as const;
  const operation = { key, origin, call, waiters: [call.call] };
  if (call.asksOutcome === true) return refuseOperation(state, operation, neverReceived, at);
  if (found.type === 'missing') return refuseOperation(state, operation, found.refusal, at);
  return dispatchOperation(state, { ...operation, ...found }, at);
}

const neverReceived = {
  outcome: 'not-run',
  reason: 'never-received',
  detail: 'No call came under this number, and from now on none is run',
} as const;
