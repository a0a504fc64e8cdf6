/** Merges an entry that another VM sent about a member, including this VM itself. */

import { enqueueRumor } from './enqueueRumor';
import type { Fleet, FleetDecision } from './fleet';
import { APPLIED_SENDS_PER_DOUBLING, RECENT_CONTACT_MS } from './fleetConstants';
import type { Member, MemberEntry } from './member';
import type { Rumor } from './membership';
import { outranks } from './outranks';
import { updateMember } from './updateMember';
import type { VmId } from './vm';
import { withMembership } from './withMembership';

/**
 * Merges one entry. A claim that a VM is dead, although it recently sent a datagram to this VM, counts as
 * a suspicion only, which the VM can refute. An entry of an unknown VM is ignored: its full record has to
 * arrive first.
 */
export function mergeEntry(fleet: Fleet, entry: MemberEntry, atMs: number): FleetDecision {
  if (entry.id === fleet.vm.id) return mergeOwnEntry(fleet, entry);
  const member = fleet.membership.members.get(entry.id);
  if (member === undefined) return { state: fleet, effects: [] };
  const adjusted = applyDirectEvidence(member, entry, atMs);
  if (outranks(adjusted, member)) return updateMember(fleet, member, adjusted, atMs);
  if (entry.incarnation === member.incarnation && entry.applied > member.applied) {
    return mergeAppliedRevision(fleet, member, entry);
  }
  return { state: fleet, effects: [] };
}

function applyDirectEvidence(member: Member, entry: MemberEntry, atMs: number): MemberEntry {
  const isUnconfirmedDeath = entry.status === 'dead' && entry.version === member.version;
  const isRecentlySeen = atMs - member.lastSeenAtMs < RECENT_CONTACT_MS;
  return isUnconfirmedDeath && isRecentlySeen ? { ...entry, status: 'suspect' } : entry;
}

function mergeAppliedRevision(fleet: Fleet, member: Member, entry: MemberEntry): FleetDecision {
  const { members, rumors, liveVms } = fleet.membership;
  const state = withMembership(fleet, {
    members: members.set(member.id, { ...member, applied: entry.applied }),
    rumors: enqueueAppliedRumor(rumors, member.id, liveVms),
  });
  return { state, effects: [] };
}

/** A member already queued for another change keeps its higher number of sends. */
function enqueueAppliedRumor(
  rumors: readonly Rumor[],
  id: VmId,
  liveVms: number,
): readonly Rumor[] {
  if (rumors.some((rumor) => rumor.id === id)) return rumors;
  return enqueueRumor(rumors, id, liveVms, APPLIED_SENDS_PER_DOUBLING);
}

function mergeOwnEntry(fleet: Fleet, entry: MemberEntry): FleetDecision {
  if (entry.incarnation > fleet.vm.incarnation) return markSuperseded(fleet);
  const isSuspected = entry.incarnation === fleet.vm.incarnation && entry.status !== 'alive';
  const hasLeft = fleet.drain?.isDone === true;
  if (!isSuspected || hasLeft || entry.version < fleet.membership.version) {
    return { state: fleet, effects: [] };
  }
  return {
    state: withMembership(fleet, { version: entry.version + 1 }),
    effects: [{ type: 'count', counter: 'suspicions_refuted', by: 1 }],
  };
}

function markSuperseded(fleet: Fleet): FleetDecision {
  if (fleet.availability.isSuperseded) return { state: fleet, effects: [] };
  return {
    state: { ...fleet, availability: { ...fleet.availability, isSuperseded: true } },
    effects: [
      {
        type: 'log',
        level: 'error',
        message: 'another VM runs under this id with a higher incarnation',
        fields: { vm: fleet.vm.id },
      },
    ],
  };
}
