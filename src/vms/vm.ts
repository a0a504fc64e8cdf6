/** A VM that runs `citronpassd`. All VMs are alike, keep nothing and are replaced at any time. */

import type { FailureDomainId, RegionId } from '../failureDomains/failureDomain';

/** Name of a VM, unique in the fleet; a replacement may reuse it under a higher incarnation. */
export type VmId = string;

/** Orders the lives of one VM id: wall-clock milliseconds at which the daemon started. */
export type Incarnation = number;

/** An IP number and port. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** Where a VM listens. */
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
