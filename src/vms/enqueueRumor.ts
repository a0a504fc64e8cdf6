/** Queues a member's change for gossip. */

import { RUMOR_SENDS_PER_DOUBLING } from './fleetConstants';
import type { Rumor } from './membership';
import type { VmId } from './vm';

/**
 * Returns the queue with this member at the front. An older rumor about the same member is dropped, so
 * the queue is never longer than the fleet.
 *
 * @param rumors the queue
 * @param id the member that changed
 * @param liveVms size of the fleet; its logarithm determines how many times the change is sent
 * @param sendsPerDoubling number of sends for each doubling of the fleet
 */
export function enqueueRumor(
  rumors: readonly Rumor[],
  id: VmId,
  liveVms: number,
  sendsPerDoubling = RUMOR_SENDS_PER_DOUBLING,
): readonly Rumor[] {
  const sendsLeft = Math.ceil(sendsPerDoubling * Math.log2(liveVms + 1));
  return [{ id, sendsLeft }, ...rumors.filter((rumor) => rumor.id !== id)];
}
