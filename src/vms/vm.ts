/** A VM that runs `citronpassd`. VMs are identical, store nothing and can be replaced at any time. */

import type { FailureDomainId, RegionId } from '../failureDomains/failureDomain';

/** Name of a VM, unique in the fleet; a replacement may reuse it under a higher incarnation. */
export type VmId = string;

/** Orders the runs of the daemon under one VM id: wall-clock milliseconds at which it started. */
export type Incarnation = number;

/** An IP address and port. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** Addresses on which a VM listens. */
export interface VmAddresses {
  /** HTTP for callers and operators. */
  readonly http: Address;
  /** gRPC for other VMs. */
  readonly peer: Address;
  /** UDP for heartbeats and digests. */
  readonly gossip: Address;
}

export interface Vm {
  readonly id: VmId;
  readonly incarnation: Incarnation;
  readonly failureDomain: FailureDomainId;
  readonly region: RegionId;
  readonly addresses: VmAddresses;
}
