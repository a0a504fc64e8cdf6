/** Counts one more operation of a ticket that is in memory. */

import type { OperationsState, TicketState } from './operationsState';

const initialTicket: TicketState = { watermark: 0, operationCount: 0, idleGeneration: 0 };

/** @returns the state with the operation count of the ticket increased by one */
export function addTicketOperation(state: OperationsState, serial: number): OperationsState {
  const ticket = state.tickets.get(serial) ?? initialTicket;
  return {
    ...state,
    tickets: state.tickets.set(serial, { ...ticket, operationCount: ticket.operationCount + 1 }),
  };
}
