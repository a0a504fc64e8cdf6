/** Records what is now known of a member, and passes a change on. */

import type { Fleet, FleetDecision } from './fleet';
import type { FleetEffect } from './fleetMessage';
import type { Member, MemberEntry } from './member';
import { enqueueRumor } from './enqueueRumor';
import type { VmId } from './vm';
import { withMembership } from './withMembership';

/**
 * Sets a member's entry and spreads it. A change of status, flags or incarnation also marks the view
 * of the fleet as changed.
 *
 * @param fleet the state
 * @param before the member as it was
 * @param entry what replaces its entry
 * @param atMs now
 */
export function updateMember(
  fleet: Fleet,
  before: Member,
  entry: MemberEntry,
  atMs: number,
): FleetDecision {
  const { membership } = fleet;
  const hasNewStatus = entry.status !== before.status || entry.incarnation !== before.incarnation;
  const member: Member = {
    ...before,
    ...entry,
    applied:
      entry.incarnation === before.incarnation
        ? Math.max(entry.applied, before.applied)
        : entry.applied,
    changedAtMs: hasNewStatus ? atMs : before.changedAtMs,
  };
  const state = withMembership(fleet, {
    members: membership.members.set(entry.id, member),
    suspected: hasNewStatus ? noteSuspected(membership.suspected, entry) : membership.suspected,
    rumors: enqueueRumor(membership.rumors, entry.id, membership.liveVms),
    isChanged: membership.isChanged || hasNewStatus || haveOtherFlags(entry, before),
  });
  return { state, effects: hasNewStatus ? [tellStatus(member)] : [] };
}

function noteSuspected(suspected: readonly VmId[], entry: MemberEntry): readonly VmId[] {
  const others = suspected.filter((id) => id !== entry.id);
  return entry.status === 'suspect' ? [...others, entry.id] : others;
}

function haveOtherFlags(entry: MemberEntry, before: MemberEntry): boolean {
  return entry.isDraining !== before.isDraining || entry.isAccepting !== before.isAccepting;
}

function tellStatus(member: Member): FleetEffect {
  return {
    type: 'log',
    level: member.status === 'alive' ? 'info' : 'warn',
    message: `VM ${member.status}`,
    fields: { vm: member.id, incarnation: member.incarnation, version: member.version },
  };
}
