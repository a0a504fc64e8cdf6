/** Handles the platform's list of VMs. The list lags: it says which VMs exist, not which are healthy. */

import type { ListedVm } from '../contracts/membershipList';
import { chain } from './chain';
import type { Fleet, FleetDecision } from './fleet';
import type { FleetEvent } from './fleetMessage';
import type { Member } from './member';
import { mergeRecord } from './mergeRecord';
import type { VmId } from './vm';
import { withMembership } from './withMembership';

type Listed = Extract<FleetEvent, { readonly type: 'listed' }>;

/** Adds unknown VMs and records which VMs are listed; an unavailable list changes nothing. */
export function handleListed(fleet: Fleet, event: Listed): FleetDecision {
  const { result } = event;
  if (result.type === 'unavailable') return { state: fleet, effects: [] };
  return chain(
    fleet,
    ...result.vms.map(
      ({ vm }) =>
        (state: Fleet) =>
          mergeRecord(state, vm, event.atMs, { isPropagated: false }),
    ),
    (state) => recordListing(state, result.vms),
  );
}

function recordListing(fleet: Fleet, vms: readonly ListedVm[]): FleetDecision {
  const states = new Map<VmId, ListedVm['state']>(vms.map(({ vm, state }) => [vm.id, state]));
  const { members } = fleet.membership;
  const listingOf = (member: Member): Member['listing'] =>
    states.get(member.id) ?? (member.listing === 'never' ? 'never' : 'gone');
  const changed = [...members.values()].filter((member) => listingOf(member) !== member.listing);
  if (changed.length === 0) return { state: fleet, effects: [] };
  const next = members.withMutations((mutable) => {
    for (const member of changed) mutable.set(member.id, { ...member, listing: listingOf(member) });
  });
  return { state: withMembership(fleet, { members: next, isChanged: true }), effects: [] };
}
