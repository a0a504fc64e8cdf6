/** Records that an operation of a ticket was evicted, and evicts tickets above the idle limit. */

import type { OperationsState } from './operationsState';

/**
 * Raises the watermark of the ticket above the sequence number. Above the limit on idle tickets, it
 * evicts the one that has been idle the longest and raises the serial watermark to its serial.
 */
export function evictSequence(
  state: OperationsState,
  serial: number,
  sequence: number,
): OperationsState {
  const ticket = state.tickets.get(serial);
  if (ticket === undefined) throw new RangeError(`No ticket ${serial} in memory`);
  const operationCount = ticket.operationCount - 1;
  const idleGeneration = operationCount === 0 ? ticket.idleGeneration + 1 : ticket.idleGeneration;
  const watermark = Math.max(ticket.watermark, sequence + 1);
  const tickets = state.tickets.set(serial, { watermark, operationCount, idleGeneration });
  if (operationCount > 0) return { ...state, tickets };
  const idleTickets = state.idleTickets.push({ serial, idleGeneration });
  return evictIdleTicket({ ...state, tickets, idleTickets });
}

function evictIdleTicket(state: OperationsState): OperationsState {
  const oldest = state.idleTickets.first();
  if (oldest === undefined || state.idleTickets.size <= state.options.maxTickets) return state;
  const idleTickets = state.idleTickets.shift();
  const ticket = state.tickets.get(oldest.serial);
  const isIdle = ticket?.operationCount === 0 && ticket.idleGeneration === oldest.idleGeneration;
  if (!isIdle) return { ...state, idleTickets };
  const tickets = state.tickets.delete(oldest.serial);
  const serialWatermark = Math.max(state.serialWatermark, oldest.serial);
  return { ...state, idleTickets, tickets, serialWatermark };
}
