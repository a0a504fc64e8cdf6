/** Removes old members that no longer run. */

import type { Fleet, FleetDecision } from './fleet';
import { DEAD_MEMBER_TTL_MS, LEFT_MEMBER_TTL_MS, MEMBER_PURGE_PERIOD_MS } from './fleetConstants';
import type { Member } from './member';
import { withMembership } from './withMembership';

/**
 * Removes members that left or that the platform no longer lists, and dead ones after an hour.
 *
 * @param fleet the state
 * @param atMs now
 */
export function purgeMembers(fleet: Fleet, atMs: number): FleetDecision {
  const { members, nextPurgeAtMs } = fleet.membership;
  if (atMs < nextPurgeAtMs) return { state: fleet, effects: [] };
  const isOld = (member: Member): boolean => {
    if (member.status === 'alive' || member.status === 'suspect') return false;
    const isRemoved = member.status === 'left' || member.listing === 'gone';
    return atMs - member.changedAtMs > (isRemoved ? LEFT_MEMBER_TTL_MS : DEAD_MEMBER_TTL_MS);
  };
  const old = [...members.values()].filter(isOld);
  const state = withMembership(fleet, { nextPurgeAtMs: atMs + MEMBER_PURGE_PERIOD_MS });
  if (old.length === 0) return { state, effects: [] };
  const next = members.deleteAll(old.map((member) => member.id));
  return { state: withMembership(state, { members: next, isChanged: true }), effects: [] };
}
