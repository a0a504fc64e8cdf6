/**
 * A network path between two failure domains, in one direction. Activations between engines in
 * different failure domains share its bandwidth; within a failure domain only the engines' own network
 * interfaces limit them.
 */

import type { FailureDomainId } from '../failureDomains/failureDomain';

export interface Link {
  readonly from: FailureDomainId;
  readonly to: FailureDomainId;
  /** Bandwidth in bytes a second, shared by all traffic in this direction. */
  readonly bytesPerSecond: number;
  /** One-way delay in milliseconds. */
  readonly delayMs: number;
}
