/**
 * Selects relays: the VMs that follow the store on behalf of the others and forward heartbeats. In a
 * large fleet, calls to the store grow with the number of VMs times the number of changes, and
 * heartbeats with the square of the number of VMs, so two VMs of each failure domain do both. A small
 * fleet needs no relays.
 */

import type { PeerRecord } from './peer';

/** Smallest fleet with relays. In a smaller one, their failures cost more time than the calls saved. */
const MIN_RELAYED_FLEET_VMS = 16;

/** Relays of a failure domain; when one fails, the others continue without a gap. */
const RELAYS_PER_DOMAIN = 2;

/** @returns whether a fleet of this size uses relays */
export function isRelayedFleet(vmCount: number): boolean {
  return vmCount >= MIN_RELAYED_FLEET_VMS;
}

/**
 * Orders VMs by processor time, most first, then by name, so that all VMs that see the same fleet choose
 * the same relays. Silent VMs are chosen only if there are too few others.
 *
 * @param peers all VMs of the fleet, this one included
 * @param failureDomain the failure domain to choose relays for
 * @param isSilent whether heartbeats expected from a VM are overdue
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
