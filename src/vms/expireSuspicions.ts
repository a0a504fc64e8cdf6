/** Ends suspicions that nobody refuted. */

import { chain } from './chain';
import type { Fleet, FleetDecision } from './fleet';
import { SUSPICION_MS_PER_DOUBLING } from './fleetConstants';
import type { Member } from './member';
import { putMember } from './putMember';
import { sendNews } from './sendNews';

/**
 * Declares dead each member that was suspected for long enough and stayed silent; one that was heard
 * since is cleared. The time grows with the logarithm of the fleet's size, as news does.
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
  return chain(
    fleet,
    ...due.map((member) => (state: Fleet) => endSuspicion(state, member, atMs)),
    (state) => sendNews(state, atMs, seed),
  );
}

function endSuspicion(fleet: Fleet, member: Member, atMs: number): FleetDecision {
  const wasHeard = member.heardAtMs > member.changedAtMs;
  return putMember(fleet, member, { ...member, status: wasHeard ? 'alive' : 'dead' }, atMs);
}
