/** VMs and backend servers of the virtual network. */

import type { Fleet } from '../src/vms/fleet';
import type { Vm } from '../src/vms/vm';

export interface VirtualServer {
  isUp: boolean;
  state: 'live' | 'leaving';
  incarnation: string;
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
  sentBytes: number;
  sentDatagrams: number;
  messageBytes: number;
  storeCalls: number;
  probes: number;
  /** Processor time spent in decisions, nanoseconds. */
  cpuNanos: bigint;
}
