/**
 * Decides which VMs follow the store for the others and pass heartbeats on. In a large fleet, calls to
 * the store grow with the number of VMs times the number of changes, and heartbeats with the square of
 * the number of VMs, so two VMs of each failure domain take both on. A small fleet needs none.
 */

import type { PeerRecord } from './peer';

/** VMs from which relays are used: below, they would save fewer calls than their failures cost time. */
const RELAYED_FLEET_VMS = 16;

/** Relays of a failure domain: one may fail, and the others go on without a gap. */
const RELAYS_PER_DOMAIN = 2;

/** @returns whether a fleet of so many VMs uses relays */
export function isRelayedFleet(vms: number): boolean {
  return vms >= RELAYED_FLEET_VMS;
}

/**
 * VMs with the most processor time come first, then by name, so all VMs that see the same fleet choose
 * the same relays. Those that fell silent serve only where there are no others.
 *
 * @param peers VMs that take part, the asking one included
 * @param failureDomain whose relays are wanted
 * @param isSilent true for a VM that was to be heard and was not
 * @returns the relays, best first
 */
export function chooseRelays(
  peers: readonly PeerRecord[],
  failureDomain: string,
  isSilent: (vm: string) => boolean,
): readonly PeerRecord[] {
  const rank = ({ vm }: PeerRecord): number => (isSilent(vm) ? 1 : 0);
  return peers
    .filter((peer) => peer.failureDomain === failureDomain)
    .sort(
      (one, other) =>
        rank(one) - rank(other) || other.cores - one.cores || (one.vm < other.vm ? -1 : 1),
    )
    .slice(0, RELAYS_PER_DOMAIN);
}
