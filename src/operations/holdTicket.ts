/** Notes that one more operation of a ticket is in memory. */

import type { OperationsState, TicketUse } from './operationsState';

const unused: TicketUse = { watermark: 0, held: 0, idleMark: 0 };

/** @returns the state in which the ticket holds one operation more */
export function holdTicket(state: OperationsState, serial: number): OperationsState {
  const use = state.tickets.get(serial) ?? unused;
  return { ...state, tickets: state.tickets.set(serial, { ...use, held: use.held + 1 }) };
}
