/** Forgets VMs that are long gone. */

import type { Fleet, FleetDecision } from './fleet';
import { FORGET_DEAD_MS, FORGET_LEFT_MS, FORGET_PERIOD_MS } from './fleetConstants';
import type { Member } from './member';
import { withMembership } from './withMembership';

/**
 * Drops members that left or were removed from the platform's list, and dead ones after an hour.
 *
 * @param fleet the state
 * @param atMs now
 */
export function forgetMembers(fleet: Fleet, atMs: number): FleetDecision {
  const { members, nextForgetAtMs } = fleet.membership;
  if (atMs < nextForgetAtMs) return { state: fleet, effects: [] };
  const isOld = (member: Member): boolean => {
    if (member.status === 'alive' || member.status === 'suspect') return false;
    const isGone = member.status === 'left' || member.listing === 'gone';
    return atMs - member.changedAtMs > (isGone ? FORGET_LEFT_MS : FORGET_DEAD_MS);
  };
  const old = [...members.values()].filter(isOld);
  const state = withMembership(fleet, { nextForgetAtMs: atMs + FORGET_PERIOD_MS });
  if (old.length === 0) return { state, effects: [] };
  const next = members.deleteAll(old.map((member) => member.id));
  return { state: withMembership(state, { members: next, isChanged: true }), effects: [] };
}
