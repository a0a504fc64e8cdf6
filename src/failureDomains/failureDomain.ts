/** A failure domain: VMs and backend servers of one region that may fail together. */

/** Name of a failure domain, unique in the fleet. */
export type FailureDomainId = string;

/** Name of a region, unique in the fleet. */
export type RegionId = string;

export interface FailureDomain {
  readonly id: FailureDomainId;
  readonly region: RegionId;
}
