/** Ends suspicions that nobody refuted. */

import { chain } from './chain';
import type { Fleet, FleetDecision } from './fleet';
import { SUSPICION_MS_PER_DOUBLING } from './fleetConstants';
import type { Member } from './member';
import { probeMember } from './probeMember';
import { updateMember } from './updateMember';
import { sendUpdates } from './sendUpdates';

/**
 * Ends each suspicion that has lasted. A member that was heard since is cleared. One that a probe of
 * this VM's own failed to reach too is declared dead; any other is probed first, so that no VM declares
 * another dead on hearsay of a suspicion alone. The time grows with the logarithm of the fleet's size,
 * as news does.
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
  const ended = due.filter((member) => hasEnded(member));
  const unsure = due.filter((member) => !hasEnded(member) && !isProbed(fleet, member));
  return chain(
    fleet,
    ...ended.map((member) => (state: Fleet) => endSuspicion(state, member, atMs)),
    ...unsure.map((member) => (state: Fleet) => probeMember(state, member, atMs)),
    (state) => (ended.length === 0 ? { state, effects: [] } : sendUpdates(state, atMs, seed)),
  );
}

function wasHeard(member: Member): boolean {
  return member.lastSeenAtMs > member.changedAtMs;
}

function hasEnded(member: Member): boolean {
  const hasFailed = member.probeFailedAtMs >= member.changedAtMs;
  return wasHeard(member) || hasFailed;
}

function isProbed(fleet: Fleet, member: Member): boolean {
  return fleet.membership.probes.some((probe) => probe.target === member.id);
}

function endSuspicion(fleet: Fleet, member: Member, atMs: number): FleetDecision {
  const status = wasHeard(member) ? 'alive' : 'dead';
  return updateMember(fleet, member, { ...member, status }, atMs);
}
