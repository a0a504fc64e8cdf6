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
  /** Heartbeats of this VM for each one that goes to the target. */
  readonly beats: number;
}

/**
 * Heartbeats for each one that a domain gets from its second relay. It only has to show that it lives and, for
 * a moment, to stand in for the first.
 */
const STANDBY_BEATS = 3;

/** Heartbeats for each one that goes to the relays of other failure domains. */
const REMOTE_BEATS = 2;

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
    return others.map((peer) => ({ peer, scope: 'none', isRelay: false, beats: 1 }));
  }
  const nearRelays = chooseRelays(peers, self.failureDomain, isSilent);
  const isNearRelay = ({ vm }: PeerRecord): boolean => nearRelays.some((relay) => relay.vm === vm);
  const near = others.filter(({ failureDomain }) => failureDomain === self.failureDomain);
  const toRelays = near
    .filter(isNearRelay)
    .map((peer) => ({ peer, scope: 'none', isRelay: true, beats: 1 }) as const);
  if (!isNearRelay(self)) return toRelays;
  const beats = nearRelays[0]?.vm === self.vm ? 1 : STANDBY_BEATS;
  const toDomain = near
    .filter((peer) => !isNearRelay(peer))
    .map((peer) => ({ peer, scope: 'all', isRelay: false, beats }) as const);
  const farDomains = new Set(peers.map(({ failureDomain }) => failureDomain));
  farDomains.delete(self.failureDomain);
  const toFarRelays = [...farDomains]
    .flatMap((domain) => chooseRelays(peers, domain, isSilent))
    .map((peer) => ({ peer, scope: 'own', isRelay: true, beats: REMOTE_BEATS }) as const);
  return [...toRelays, ...toDomain, ...toFarRelays];
}
