/**
 * Which numbers of a ticket this VM can still vouch for. Memory is bounded, so what is forgotten
 * leaves a watermark behind: a number below it is never dispatched again.
 */

import type { OperationsState } from './operationsState';

/**
 * Tells whether an id that is not in memory may have been there before.
 *
 * @param serial of the ticket
 * @param sequence number under the ticket
 */
export function isForgotten(state: OperationsState, serial: number, sequence: number): boolean {
  const use = state.tickets.get(serial);
  if (use === undefined) return serial <= state.serialWatermark;
  return sequence < use.watermark;
}
