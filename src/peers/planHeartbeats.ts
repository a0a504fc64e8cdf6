/**
 * Decides to which VMs a VM sends heartbeats, and which digests they carry. In a small fleet, every VM
 * sends to every other. In a large one, VMs send to the relays of their failure domain. Relays send the
 * digest of their domain to the relays of other domains, and all digests to the VMs of their own. The
 * number of datagrams then grows with the number of VMs, not with its square, and few of them cross the
 * links between domains.
 */

import { chooseRelays, isRelayedFleet } from './chooseRelays';
import type { PeerRecord } from './peer';

/** The digests in a heartbeat: none, that of the own failure domain, or all known ones. */
export type DigestScope = 'none' | 'own' | 'all';

export interface HeartbeatTarget {
  readonly peer: PeerRecord;
  readonly scope: DigestScope;
  /** Whether the target is a relay from which this VM expects heartbeats. */
  readonly isRelay: boolean;
}

/**
 * @param self this VM
 * @param peers all VMs, this one included
 * @param isSilent whether heartbeats expected from a VM are overdue
 * @returns the VMs to send heartbeats to
 */
export function planHeartbeats(
  self: PeerRecord,
  peers: readonly PeerRecord[],
  isSilent: (vm: string) => boolean,
): readonly HeartbeatTarget[] {
  const others = peers.filter(({ vm }) => vm !== self.vm);
  if (!isRelayedFleet(peers.length)) {
    return others.map((peer) => ({ peer, scope: 'none', isRelay: false }));
  }
  const domains = [...new Set(peers.map(({ failureDomain }) => failureDomain))];
  const relays = domains.flatMap((domain) => chooseRelays(peers, domain, isSilent));
  const isRelay = ({ vm }: PeerRecord): boolean => relays.some((relay) => relay.vm === vm);
  const near = others.filter(({ failureDomain }) => failureDomain === self.failureDomain);
  const toRelays = near
    .filter(isRelay)
    .map((peer) => ({ peer, scope: 'none', isRelay: true }) as const);
  if (!isRelay(self)) return toRelays;
  const toDomain = near
    .filter((peer) => !isRelay(peer))
    .map((peer) => ({ peer, scope: 'all', isRelay: false }) as const);
  const toFarRelays = relays
    .filter(({ failureDomain }) => failureDomain !== self.failureDomain)
    .map((peer) => ({ peer, scope: 'own', isRelay: true }) as const);
  return [...toRelays, ...toDomain, ...toFarRelays];
}
