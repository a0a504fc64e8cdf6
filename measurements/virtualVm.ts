/** VMs and backend servers of the virtual network. */

import type { ReplayWindows } from '../src/vms/datagram';
import type { Fleet } from '../src/vms/fleet';
import type { Vm } from '../src/vms/vm';

export interface VirtualServer {
  isUp: boolean;
  state: 'live' | 'leaving';
  incarnation: string;
  /** Whether it reports its load with each probe. */
  readonly isEngine?: boolean;
}

export interface VirtualVm {
  readonly vm: Vm;
  readonly index: number;
  fleet: Fleet;
  isUp: boolean;
  pausedUntilMs: number;
  /** Offset of its monotonic clock from virtual time, milliseconds. */
  readonly clockOffsetMs: number;
  readonly timers: Map<string, number>;
  /** Number of the last datagram sent. */
  sequence: number;
  /** What was seen of each sender. */
  windows: ReplayWindows;
  sentBytes: number;
  receivedBytes: number;
  /** Largest datagram sent, envelope included, bytes. */
  largestBytes: number;
  sentDatagrams: number;
  messageBytes: number;
  storeCalls: number;
  probes: number;
  /** Processor time spent in decisions, nanoseconds. */
  cpuNanos: bigint;
}

export interface VirtualFleetOptions {
  readonly seed: number;
  readonly nodes: number;
  readonly regions?: number;
  readonly domainsPerRegion?: number;
  /** Share of datagrams that are lost. */
  readonly lossRate?: number;
  /** Encodes every datagram to count its bytes, and times every decision. */
  readonly isMetered?: boolean;
}
