/** What this VM says of itself. */

import type { Fleet } from './fleet';
import type { MemberEntry } from './member';

/** @returns the entry that goes out with each datagram */
export function createOwnEntry(fleet: Fleet): MemberEntry {
  const { vm, drain, availability: standing, membership, configuration } = fleet;
  return {
    id: vm.id,
    incarnation: vm.incarnation,
    version: membership.version,
    status: drain?.isDone === true ? 'left' : 'alive',
    isDraining: drain !== undefined,
    isAccepting: standing.isAccepting,
    applied: configuration.applied.revision,
  };
}
