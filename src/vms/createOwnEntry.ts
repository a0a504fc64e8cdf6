/** Creates this VM's own member entry. */

import type { Fleet } from './fleet';
import type { MemberEntry } from './member';

/** @returns the entry that is sent with each datagram */
export function createOwnEntry(fleet: Fleet): MemberEntry {
  const { vm, drain, availability, membership, configuration } = fleet;
  return {
    id: vm.id,
    incarnation: vm.incarnation,
    version: membership.version,
    status: drain?.isDone === true ? 'left' : 'alive',
    isDraining: drain !== undefined,
    isAccepting: availability.isAccepting,
    applied: configuration.applied.revision,
  };
}
