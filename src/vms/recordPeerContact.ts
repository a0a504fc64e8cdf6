/** Records that a member itself sent a datagram. */

import type { Fleet } from './fleet';
import type { Gossip } from './gossip';
import { withMembership } from './withMembership';

/**
 * @param fleet the state
 * @param gossip the datagram
 * @param atMs now
 */
export function recordPeerContact(fleet: Fleet, gossip: Gossip, atMs: number): Fleet {
  const { members } = fleet.membership;
  const [id, incarnation] = gossip.e;
  const member = members.get(id);
  if (member === undefined || incarnation < member.incarnation) return fleet;
  const contacted = withMembership(fleet, {
    members: members.set(id, { ...member, lastSeenAtMs: atMs }),
  });
  if (!fleet.availability.hasFreshAnswer) return contacted;
  return { ...contacted, availability: { ...fleet.availability, peerLastSeenAtMs: atMs } };
}
