/**
 * Chooses how long a VM waits for changes of the store's tables. In a fleet with relays, only the relays
 * call the store, so their waits can be short. The data of a relay is then never much older than one
 * wait, and the VMs that follow it notice when it receives nothing from the store.
 */

import { isRelayedFleet } from './chooseRelays';

export interface LongPollTimings {
  /** Longest wait for a change of the catalog, milliseconds; also the time between confirmations. */
  readonly catalogWaitMs: number;
  /**
   * Longest wait for a change of the list of backend servers, milliseconds. A silent connection is
   * detected soon after this time.
   */
  readonly serverWaitMs: number;
  /** Longest wait for a change of the list of VMs, milliseconds; heartbeats also keep it current. */
  readonly peerWaitMs: number;
  /** Pause after a change, milliseconds, so that changes made together are read together. */
  readonly settleMs: number;
  /** The same for the list of VMs, of which heartbeats tell sooner what is urgent. */
  readonly peerSettleMs: number;
}

const SMALL_FLEET_TIMINGS: LongPollTimings = {
  catalogWaitMs: 2_000,
  serverWaitMs: 1_800,
  peerWaitMs: 8_000,
  settleMs: 120,
  peerSettleMs: 120,
};

const RELAYED_FLEET_TIMINGS: LongPollTimings = {
  catalogWaitMs: 1_200,
  serverWaitMs: 1_200,
  peerWaitMs: 4_000,
  settleMs: 250,
  peerSettleMs: 600,
};

/** @param vmCount number of VMs in the fleet */
export function chooseLongPollTimings(vmCount: number): LongPollTimings {
  return isRelayedFleet(vmCount) ? RELAYED_FLEET_TIMINGS : SMALL_FLEET_TIMINGS;
}
