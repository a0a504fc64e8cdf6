/**
 * A backend server: a model engine or a plain service that the router sends work to. Nothing of the
 * router runs on it.
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
  /** Whether it refuses an order that carries a lower fencing number than one it has seen. */
  readonly checksFencing: boolean;
  /** Set by a plan that retires it; a leaving backend server gets no new work. */
  readonly leaving: boolean;
}
