/** Converts a member to the form that the other sides of the node use. */

import type { PeerVm } from '../operations/operationMessage';
import type { Member } from './member';

/** @returns the member's id, incarnation and addresses */
export function toPeer(member: Member): PeerVm {
  const { http, peer } = member.vm.addresses;
  return { id: member.id, incarnation: member.incarnation, http, peer };
}
