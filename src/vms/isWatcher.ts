/** Whether a VM probes a backend server on behalf of its region. */

import { SMALL_FLEET_VMS, WATCHERS_IN_LARGE_REGION, WATCHERS_PER_SERVER } from './fleetConstants';
import { mixHashes } from './mixHashes';

/**
 * Whether a VM has one of the highest rendezvous scores for a server. Each VM computes this locally; when
 * a VM is removed, only the servers that it watched get another watcher.
 *
 * @param server hash of the server's id
 * @param own hash of the VM's id
 * @param vms hashes of the ids of all VMs that may watch, including the own one
 */
export function isWatcher(server: number, own: number, vms: readonly number[]): boolean {
  const isLarge = vms.length > SMALL_FLEET_VMS;
  const watchers = isLarge ? WATCHERS_IN_LARGE_REGION : WATCHERS_PER_SERVER;
  const score = mixHashes(server, own);
  let better = 0;
  for (const vm of vms) {
    if (mixHashes(server, vm) > score) better += 1;
    if (better >= watchers) return false;
  }
  return true;
}
