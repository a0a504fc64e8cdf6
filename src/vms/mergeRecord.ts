/** Merges the full record of a VM: a new VM, or a new incarnation of a known one. */

import { enqueueRumor } from './enqueueRumor';
import type { Fleet, FleetDecision } from './fleet';
import { INTRODUCTION_SENDS_PER_DOUBLING, MAX_MEMBERS } from './fleetConstants';
import type { Member } from './member';
import type { Vm } from './vm';
import { withMembership } from './withMembership';

/**
 * Adds a VM, or replaces the record of one that restarted. Records of past incarnations, of this VM
 * itself, and beyond the limit are ignored.
 *
 * @param fleet the state
 * @param vm the record
 * @param atMs now
 * @param options whether to gossip the record to VMs that may lack it; false for records from the
 *   platform's list or from a peer's full membership
 */
export function mergeRecord(
  fleet: Fleet,
  vm: Vm,
  atMs: number,
  { isPropagated = true }: { readonly isPropagated?: boolean } = {},
): FleetDecision {
  const { members, suspected, rumors, introductions, liveVms } = fleet.membership;
  const known = members.get(vm.id);
  const isOld = known !== undefined && vm.incarnation <= known.vm.incarnation;
  if (vm.id === fleet.vm.id || isOld) return { state: fleet, effects: [] };
  if (known === undefined && members.size >= MAX_MEMBERS) return countOverLimit(fleet);
  const isNewIncarnation = known === undefined || vm.incarnation > known.incarnation;
  const member: Member = isNewIncarnation ? createMember(vm, known, atMs) : { ...known, vm };
  const state = withMembership(fleet, {
    members: members.set(vm.id, member),
    suspected: isNewIncarnation ? suspected.filter((id) => id !== vm.id) : suspected,
    rumors: isPropagated ? enqueueRumor(rumors, vm.id, liveVms) : rumors,
    introductions: isPropagated
      ? enqueueRumor(introductions, vm.id, liveVms, INTRODUCTION_SENDS_PER_DOUBLING)
      : introductions,
    isChanged: true,
  });
  return {
    state,
    effects: [
      {
        type: 'log',
        level: 'info',
        message: 'VM joined',
        fields: { vm: vm.id, incarnation: vm.incarnation },
      },
    ],
  };
}

function createMember(vm: Vm, known: Member | undefined, atMs: number): Member {
  return {
    id: vm.id,
    incarnation: vm.incarnation,
    version: 0,
    status: 'alive',
    isDraining: false,
    isAccepting: false,
    applied: 0,
    vm,
    lastSeenAtMs: -Infinity,
    probeFailedAtMs: -Infinity,
    changedAtMs: atMs,
    listing: known?.listing ?? 'never',
  };
}

function countOverLimit(fleet: Fleet): FleetDecision {
  return { state: fleet, effects: [{ type: 'count', counter: 'members_over_limit', by: 1 }] };
}
