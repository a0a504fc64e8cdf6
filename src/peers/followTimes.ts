/**
 * How a VM waits for changes of the store's tables. In a fleet with relays only those call the store, so
 * their waits can be short: what they know is never much older than one wait, and the VMs that follow
 * them notice a relay that hears nothing.
 */

import { isRelayedFleet } from './chooseRelays';

export interface FollowTimes {
  /** Longest wait for a change of the catalog, milliseconds; confirmations are this much apart. */
  readonly catalogWaitMs: number;
  /** The same for the list of backend servers; a silent connection is noticed soon after. */
  readonly serverWaitMs: number;
  /** The same for the list of VMs, which heartbeats keep fresh besides. */
  readonly peerWaitMs: number;
  /** Pause after a change, milliseconds: what changes together is read together. */
  readonly settleMs: number;
}

const SMALL_FLEET: FollowTimes = {
  catalogWaitMs: 2_000,
  serverWaitMs: 4_000,
  peerWaitMs: 8_000,
  settleMs: 120,
};

const RELAYED_FLEET: FollowTimes = {
  catalogWaitMs: 1_200,
  serverWaitMs: 1_200,
  peerWaitMs: 4_000,
  settleMs: 250,
};

/** @param vms VMs of the fleet */
export function followTimes(vms: number): FollowTimes {
  return isRelayedFleet(vms) ? RELAYED_FLEET : SMALL_FLEET;
}
