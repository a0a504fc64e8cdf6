/**
 * Decides to whom a VM sends its heartbeats, and what they carry. In a small fleet every VM tells every
 * other one about itself. In a large one VMs tell the relays of their failure domain; relays tell each
 * other the sum of their domain, and their domain the sums of all. Datagrams then grow with the number
 * of VMs, not with its square, and little crosses the links between domains.
 */

import { chooseRelays, isRelayedFleet } from './chooseRelays';
import type { PeerRecord } from './peer';

/** Which digests a heartbeat carries: none, that of the own failure domain, or all that are known. */
export type DigestScope = 'none' | 'own' | 'all';

export interface HeartbeatTarget {
  readonly peer: PeerRecord;
  readonly scope: DigestScope;
  /** This VM expects heartbeats from it in turn. */
  readonly isRelay: boolean;
}

/**
 * @param self this VM
 * @param peers all VMs, this one included
 * @param isSilent true for a VM that was to be heard and was not
 * @returns the VMs to tell
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
