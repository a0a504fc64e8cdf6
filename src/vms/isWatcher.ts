/** Whether a VM probes a backend server on behalf of all. */

import { WATCHERS_PER_SERVER } from './fleetConstants';
import { mixHashes } from './mixHashes';

/**
 * Whether one VM is among those with the highest scores for a server. Each VM works this out alone;
 * when a VM goes, only the servers that it watched get another watcher.
 *
 * @param server hash of the server's id
 * @param own hash of the VM's id
 * @param vms hashes of the ids of all VMs that may watch, the own one included
 */
export function isWatcher(server: number, own: number, vms: readonly number[]): boolean {
  const score = mixHashes(server, own);
  let better = 0;
  for (const vm of vms) {
    if (mixHashes(server, vm) > score) better += 1;
    if (better >= WATCHERS_PER_SERVER) return false;
  }
  return true;
}
