/** Makes a VM of the virtual network, not yet started. */

import { OrderedMap } from 'immutable';
import type { ReplayWindow } from '../src/vms/datagram';
import { createFleet } from '../src/vms/createFleet';
import type { VirtualVm } from './virtualVm';

export interface VirtualVmOptions {
  readonly incarnation: number;
  readonly clockOffsetMs: number;
  readonly regions?: number;
  readonly domainsPerRegion?: number;
}

/** Keeps the incarnations of virtual VMs in the range of wall-clock milliseconds, as real ones are. */
const FIRST_INCARNATION = 1_700_000_000_000;

/**
 * Spreads VMs over regions and failure domains in turn.
 *
 * @param index position in the fleet; names the VM and its addresses
 */
export function createVirtualVm(index: number, options: VirtualVmOptions): VirtualVm {
  const { regions = 1, domainsPerRegion = 3, incarnation, clockOffsetMs } = options;
  const region = `r${index % regions}`;
  const domain = `${region}-d${Math.floor(index / regions) % domainsPerRegion}`;
  const host = `10.0.${index >> 8}.${index & 255}`;
  const vm = {
    id: `vm-${index}`,
    incarnation: FIRST_INCARNATION + incarnation,
    failureDomain: domain,
    region,
    addresses: {
      http: { host, port: 8080 },
      peer: { host, port: 8081 },
      gossip: { host, port: 8082 },
    },
  };
  return {
    vm,
    index,
    fleet: createFleet(),
    isUp: false,
    pausedUntilMs: 0,
    clockOffsetMs,
    timers: new Map(),
    sequence: 0,
    windows: OrderedMap<string, ReplayWindow>(),
    sentBytes: 0,
    receivedBytes: 0,
    largestBytes: 0,
    sentDatagrams: 0,
    messageBytes: 0,
    storeCalls: 0,
    probes: 0,
    cpuNanos: 0n,
  };
}
