/**
 * A backend server: a model engine or a plain service that the router sends work to. It runs no part of
 * the router.
 */

import type { FailureDomainId } from '../failureDomains/failureDomain';
import type { Address } from '../vms/vm';

/** Name of a backend server, unique in the fleet. */
export type BackendServerId = string;

export interface BackendServer {
  readonly id: BackendServerId;
  readonly kind: 'engine' | 'plain';
  readonly failureDomain: FailureDomainId;
  readonly address: Address;
  /** Whether it rejects an order whose fencing number is lower than one that it has already received. */
  readonly checksFencing: boolean;
  /** Set by a plan that retires the server; a leaving backend server receives no new work. */
  readonly leaving: boolean;
}
