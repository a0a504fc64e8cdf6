/** Start of the keys under which one life of a VM records results. */

import type { Incarnation, VmId } from '../vms/vm';

/** @returns a prefix that no other VM or life shares */
export function nameChunks(vm: VmId, incarnation: Incarnation): string {
  return `${encodeURIComponent(vm)}/${incarnation}/`;
}
