/**
 * Decides whether a sequence number may already have been dispatched. Memory is bounded, so evicted
 * numbers are represented by a watermark; a number below it is never dispatched again.
 */

import type { OperationsState } from './operationsState';

/**
 * Returns whether an operation that is not in memory may have been there before.
 *
 * @param serial serial of the ticket
 * @param sequence sequence number under the ticket
 */
export function isBelowWatermark(
  state: OperationsState,
  serial: number,
  sequence: number,
): boolean {
  const ticket = state.tickets.get(serial);
  if (ticket === undefined) return serial <= state.serialWatermark;
  return sequence < ticket.watermark;
}
