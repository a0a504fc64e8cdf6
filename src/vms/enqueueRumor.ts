/** Puts a member's change at the front of what is passed on. */

import { RUMOR_SENDS_PER_DOUBLING } from './fleetConstants';
import type { Rumor } from './membership';
import type { VmId } from './vm';

/**
 * Gives the queue of changes with this member first; an older change of the same one is dropped, so
 * the queue is never longer than the fleet.
 *
 * @param rumors the queue
 * @param id the member that changed
 * @param liveVms size of the fleet, whose logarithm sets how often the change is sent
 * @param sendsPerDoubling times that it is sent for each doubling of the fleet
 */
export function enqueueRumor(
  rumors: readonly Rumor[],
  id: VmId,
  liveVms: number,
  sendsPerDoubling = RUMOR_SENDS_PER_DOUBLING,
): readonly Rumor[] {
  const sends = Math.ceil(sendsPerDoubling * Math.log2(liveVms + 1));
  return [{ id, sendsLeft: sends }, ...rumors.filter((rumor) => rumor.id !== id)];
}
