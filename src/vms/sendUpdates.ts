/** Sends urgent changes to a few VMs without waiting for the next probe. */

import { chain } from './chain';
import type { Fleet, FleetDecision } from './fleet';
import { URGENT_TARGETS } from './fleetConstants';
import { isLive } from './isLive';
import { pickMembers } from './pickMembers';
import { sendGossip } from './sendGossip';

/**
 * Sends a datagram that needs no answer to some live members picked at random.
 *
 * @param fleet the state
 * @param atMs now
 * @param seed fresh randomness
 * @param count number of members
 */
export function sendUpdates(
  fleet: Fleet,
  atMs: number,
  seed: number,
  count = URGENT_TARGETS,
): FleetDecision {
  const live = [...fleet.membership.members.values()].filter(isLive);
  const targets = pickMembers(live, count, seed);
  return chain(
    fleet,
    ...targets.map(
      ({ vm }) =>
        (state: Fleet) =>
          sendGossip(state, { kind: 'news', to: vm.addresses.gossip, toId: vm.id, nonce: 0 }, atMs),
    ),
  );
}
