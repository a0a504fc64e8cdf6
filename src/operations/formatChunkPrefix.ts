/** Formats the prefix of the keys under which one incarnation of a VM records results. */

import type { Incarnation, VmId } from '../vms/vm';

/** @returns a prefix that is unique to the VM and incarnation */
export function formatChunkPrefix(vm: VmId, incarnation: Incarnation): string {
  return `${encodeURIComponent(vm)}/${incarnation}/`;
}
