/** Takes in a call under a ticket: the home answers or dispatches it, any other VM forwards it. */

import type { Occurrence } from '../decisions/primitive';
import { beginOperation } from './beginOperation';
import type { FoundMethod } from './findMethod';
import { isForgotten } from './isForgotten';
import { joinOperation } from './joinOperation';
import { nameOperation } from './nameOperation';
import type { PlainCall } from './operationMessage';
import type { OperationsState } from './operationsState';
import type { ReadId } from './readOperationId';
import { refuseOperation } from './refuseOperation';
import { resolveOutcome } from './resolveOutcome';
import { step, type OperationsStep } from './step';

type TicketedId = Extract<ReadId, { readonly type: 'ticketed' }>;

/** Handles the call; its ticket is genuine and of the call's workspace. */
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
    return receiveAtHome(state, call, found, id, at);
  }
  const home = state.vms.find(
    (peer) => peer.id === ticket.vm && peer.incarnation === ticket.incarnation,
  );
  if (home === undefined || home.id === vm || call.forwardedBy !== undefined) {
    return resolveOutcome(state, call, 'home-gone');
  }
  const next = { ...state, forwards: state.forwards.set(call.call, call) };
  return step(next, { type: 'forward', vm: home, call });
}

function receiveAtHome(
  state: OperationsState,
  call: PlainCall,
  found: FoundMethod,
  id: TicketedId,
  at: Occurrence,
): OperationsStep {
  const key = nameOperation(call.workspace, call.operation ?? '');
  const joined = joinOperation(state, key, call);
  if (joined !== undefined) return joined;
  const { serial } = id.ticket;
  if (isForgotten(state, serial, id.sequence)) return resolveOutcome(state, call, 'forgotten');
  const origin = { type: 'ticket', serial, sequence: id.sequence } as const;
  const operation = { key, origin, call, waiters: [call.call] };
  if (call.asksOutcome === true) return refuseOperation(state, operation, neverReceived, at);
  if (found.type === 'missing') return refuseOperation(state, operation, found.refusal, at);
  return beginOperation(state, { ...operation, ...found }, at);
}

const neverReceived = {
  outcome: 'not-run',
  reason: 'never-received',
  detail: 'No call came under this number, and from now on none is run',
} as const;
