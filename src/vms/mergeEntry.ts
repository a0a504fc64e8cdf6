/** Takes in what another VM says of a member, this one included. */

import type { Fleet, FleetDecision } from './fleet';
import { APPLIED_SENDS_PER_DOUBLING, RECENT_CONTACT_MS } from './fleetConstants';
import type { Member, MemberEntry } from './member';
import type { Rumor } from './membership';
import { outranks } from './outranks';
import { updateMember } from './updateMember';
import { enqueueRumor } from './enqueueRumor';
import type { VmId } from './vm';
import { withMembership } from './withMembership';

/**
 * Merges one entry. Word that a VM is dead, while it was heard directly a moment ago, counts as a
 * suspicion only: the VM then gets to refute it. An entry of an unknown VM changes nothing here; its
 * full record has to come first.
 */
export function mergeEntry(fleet: Fleet, entry: MemberEntry, atMs: number): FleetDecision {
  if (entry.id === fleet.vm.id) return learnOfSelf(fleet, entry);
  const member = fleet.membership.members.get(entry.id);
  if (member === undefined) return { state: fleet, effects: [] };
  const heeded = heed(member, entry, atMs);
  if (outranks(heeded, member)) return updateMember(fleet, member, heeded, atMs);
  if (entry.incarnation === member.incarnation && entry.applied > member.applied) {
    return learnApplied(fleet, member, entry);
  }
  return { state: fleet, effects: [] };
}

function heed(member: Member, entry: MemberEntry, atMs: number): MemberEntry {
  const isDoubted = entry.status === 'dead' && entry.version === member.version;
  const isHeard = atMs - member.lastSeenAtMs < RECENT_CONTACT_MS;
  return isDoubted && isHeard ? { ...entry, status: 'suspect' } : entry;
}

function learnApplied(fleet: Fleet, member: Member, entry: MemberEntry): FleetDecision {
  const { members, rumors, liveVms } = fleet.membership;
  const state = withMembership(fleet, {
    members: members.set(member.id, { ...member, applied: entry.applied }),
    rumors: spreadApplied(rumors, member.id, liveVms),
  });
  return { state, effects: [] };
}

/** A member that is told of anyway, with a graver change, is not told of less often for this one. */
function spreadApplied(rumors: readonly Rumor[], id: VmId, liveVms: number): readonly Rumor[] {
  if (rumors.some((rumor) => rumor.id === id)) return rumors;
  return enqueueRumor(rumors, id, liveVms, APPLIED_SENDS_PER_DOUBLING);
}

function learnOfSelf(fleet: Fleet, entry: MemberEntry): FleetDecision {
  if (entry.incarnation > fleet.vm.incarnation) return supersede(fleet);
  const isAccused = entry.incarnation === fleet.vm.incarnation && entry.status !== 'alive';
  const isOver = fleet.drain?.isDone === true;
  if (!isAccused || isOver || entry.version < fleet.membership.version) {
    return { state: fleet, effects: [] };
  }
  return {
    state: withMembership(fleet, { version: entry.version + 1 }),
    effects: [{ type: 'count', counter: 'suspicions_refuted', by: 1 }],
  };
}

function supersede(fleet: Fleet): FleetDecision {
  if (fleet.availability.isSuperseded) return { state: fleet, effects: [] };
  return {
    state: { ...fleet, availability: { ...fleet.availability, isSuperseded: true } },
    effects: [
      {
        type: 'log',
        level: 'error',
        message: 'Another VM runs under this id with a higher incarnation',
        fields: { vm: fleet.vm.id },
      },
    ],
  };
}
