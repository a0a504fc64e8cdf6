/** A failure domain: VMs and backend servers that may go down together, inside one region. */

/** Name of a failure domain, unique in the fleet. */
export type FailureDomainId = string;

/** Name of a region, unique in the fleet. */
export type RegionId = string;

export interface FailureDomain {
  readonly id: FailureDomainId;
  readonly region: RegionId;
}
