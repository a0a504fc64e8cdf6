/** Notes that an operation of a ticket left memory, and drops tickets that are long idle. */

import type { OperationsState } from './operationsState';

/**
 * Shuts all numbers of the ticket up to this one, and, past the limit on idle tickets, all tickets
 * up to the one that has been idle the longest.
 */
export function forgetSequence(
  state: OperationsState,
  serial: number,
  sequence: number,
): OperationsState {
  const use = state.tickets.get(serial);
  if (use === undefined) throw new RangeError(`No ticket ${serial} in memory`);
  const held = use.held - 1;
  const idleMark = held === 0 ? use.idleMark + 1 : use.idleMark;
  const watermark = Math.max(use.watermark, sequence + 1);
  const tickets = state.tickets.set(serial, { watermark, held, idleMark });
  if (held > 0) return { ...state, tickets };
  const idleTickets = state.idleTickets.push({ serial, idleMark });
  return dropIdleTicket({ ...state, tickets, idleTickets });
}

function dropIdleTicket(state: OperationsState): OperationsState {
  const oldest = state.idleTickets.first();
  if (oldest === undefined || state.idleTickets.size <= state.options.maxTickets) return state;
  const idleTickets = state.idleTickets.shift();
  const use = state.tickets.get(oldest.serial);
  const isIdle = use?.held === 0 && use.idleMark === oldest.idleMark;
  if (!isIdle) return { ...state, idleTickets };
  const tickets = state.tickets.delete(oldest.serial);
  const serialWatermark = Math.max(state.serialWatermark, oldest.serial);
  return { ...state, idleTickets, tickets, serialWatermark };
}
