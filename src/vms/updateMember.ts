/** Updates a member and queues the change for gossip. */

import { enqueueRumor } from './enqueueRumor';
import type { Fleet, FleetDecision } from './fleet';
import type { FleetEffect } from './fleetMessage';
import type { Member, MemberEntry } from './member';
import type { VmId } from './vm';
import { withMembership } from './withMembership';

/**
 * Replaces a member's entry and queues it for gossip. A change of status, flags or incarnation also marks
 * the view of the fleet as changed.
 *
 * @param fleet the state
 * @param before the member before the change
 * @param entry its new entry
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
    suspected: hasNewStatus ? updateSuspected(membership.suspected, entry) : membership.suspected,
    rumors: enqueueRumor(membership.rumors, entry.id, membership.liveVms),
    isChanged: membership.isChanged || hasNewStatus || hasChangedFlags(entry, before),
  });
  return { state, effects: hasNewStatus ? [logStatus(member)] : [] };
}

function updateSuspected(suspected: readonly VmId[], entry: MemberEntry): readonly VmId[] {
  const others = suspected.filter((id) => id !== entry.id);
  return entry.status === 'suspect' ? [...others, entry.id] : others;
}

function hasChangedFlags(entry: MemberEntry, before: MemberEntry): boolean {
  return entry.isDraining !== before.isDraining || entry.isAccepting !== before.isAccepting;
}

function logStatus(member: Member): FleetEffect {
  return {
    type: 'log',
    level: member.status === 'alive' ? 'info' : 'warn',
    message: `VM ${member.status}`,
    fields: { vm: member.id, incarnation: member.incarnation, version: member.version },
  };
}
