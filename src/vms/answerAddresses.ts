/** Answers callers that ask which VMs to connect to. */

import { hash32 } from '../hashing/hash32';
import type { Fleet, FleetDecision } from './fleet';
import { ADDRESSES_PER_ANSWER } from './fleetConstants';
import type { FleetEvent } from './fleetMessage';
import type { Member } from './member';
import { mixHashes } from './mixHashes';
import type { Vm } from './vm';

type AddressesAsked = Extract<FleetEvent, { readonly type: 'addresses-asked' }>;

/**
 * Answers with the VMs that score highest for this caller, best first. Candidates are live, accepting,
 * not draining and in this VM's region, or in any region if this one has none. Every VM gives the same
 * answer, also during a store outage; when a VM is removed, only its own callers move.
 */
export function answerAddresses(fleet: Fleet, event: AddressesAsked): FleetDecision {
  const vms = listCandidates(fleet);
  const local = vms.filter((vm) => vm.region === fleet.vm.region);
  const caller = hash32(event.caller);
  const ranked = rank(local.length > 0 ? local : vms, caller);
  const addresses = ranked.slice(0, ADDRESSES_PER_ANSWER).map((vm) => vm.addresses.http);
  const answer = { addresses, validForMs: fleet.options.answerValidMs };
  return { state: fleet, effects: [{ type: 'answer-addresses', call: event.call, answer }] };
}

function listCandidates(fleet: Fleet): readonly Vm[] {
  const isCandidate = (member: Member): boolean =>
    member.status === 'alive' &&
    member.isAccepting &&
    !member.isDraining &&
    member.listing !== 'leaving';
  const others = [...fleet.membership.members.values()]
    .filter(isCandidate)
    .map((member) => member.vm);
  const isOwnVmCandidate = fleet.availability.isAccepting && fleet.drain === undefined;
  return isOwnVmCandidate ? [fleet.vm, ...others] : others;
}

function rank(vms: readonly Vm[], caller: number): readonly Vm[] {
  const scored = vms.map((vm) => ({ vm, score: mixHashes(caller, hash32(vm.id)) }));
  scored.sort((one, other) => other.score - one.score || (one.vm.id < other.vm.id ? -1 : 1));
  return scored.map(({ vm }) => vm);
}
