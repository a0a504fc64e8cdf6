/** Resolves suspicions that were not refuted in time. */

import { chain } from './chain';
import type { Fleet, FleetDecision } from './fleet';
import { SUSPICION_MS_PER_DOUBLING } from './fleetConstants';
import type { Member } from './member';
import { probeMember } from './probeMember';
import { sendUpdates } from './sendUpdates';
import { updateMember } from './updateMember';

/**
 * Resolves each suspicion whose timeout has passed. A member that sent a datagram since is cleared. One
 * that this VM's own probe also failed to reach is declared dead. Any other is probed first, so that no VM
 * declares another dead on a suspicion received from others alone. The timeout grows with the logarithm of
 * the fleet's size, like the time that gossip takes to spread.
 *
 * @param fleet the state
 * @param atMs now
 * @param seed fresh randomness
 */
export function expireSuspicions(fleet: Fleet, atMs: number, seed: number): FleetDecision {
  const { members, suspected, liveVms } = fleet.membership;
  if (suspected.length === 0) return { state: fleet, effects: [] };
  const limit = SUSPICION_MS_PER_DOUBLING * Math.log2(liveVms + 1);
  const due: Member[] = [];
  for (const id of suspected) {
    const member = members.get(id);
    if (member !== undefined && atMs - member.changedAtMs >= limit) due.push(member);
  }
  if (due.length === 0) return { state: fleet, effects: [] };
  const conclusive = due.filter((member) => isConclusive(member));
  const unconfirmed = due.filter((member) => !isConclusive(member) && !isProbed(fleet, member));
  return chain(
    fleet,
    ...conclusive.map((member) => (state: Fleet) => resolveSuspicion(state, member, atMs)),
    ...unconfirmed.map((member) => (state: Fleet) => probeMember(state, member, atMs)),
    (state) => (conclusive.length === 0 ? { state, effects: [] } : sendUpdates(state, atMs, seed)),
  );
}

function wasSeenSince(member: Member): boolean {
  return member.lastSeenAtMs > member.changedAtMs;
}

function isConclusive(member: Member): boolean {
  const hasFailed = member.probeFailedAtMs >= member.changedAtMs;
  return wasSeenSince(member) || hasFailed;
}

function isProbed(fleet: Fleet, member: Member): boolean {
  return fleet.membership.probes.some((probe) => probe.target === member.id);
}

function resolveSuspicion(fleet: Fleet, member: Member, atMs: number): FleetDecision {
  const status = wasSeenSince(member) ? 'alive' : 'dead';
  return updateMember(fleet, member, { ...member, status }, atMs);
}
