/** Finds a chain for a stream and reserves it in the same step, so that no other stream counts on its room. */

import type { Stage } from '../../chains/layerEngine';
import type { Reservation } from '../../gateway/serverRegistry';
import type { GatewayHost, Job } from '../../gateway/job';
import { findStreamChain } from './findStreamChain';
import type { StreamChainSearch } from './describeChainSearch';

export interface ReservedChain {
  readonly stages: readonly Stage[];
  readonly reservation: Reservation;
}

/** @returns undefined if no chain has capacity */
export function reserveStreamChain(
  host: GatewayHost,
  job: Job,
  search: StreamChainSearch,
): ReservedChain | undefined {
  const stages = findStreamChain(host, job, search);
  if (stages === undefined) return undefined;
  return { stages, reservation: host.registry.reserve(stages, search.tokens) };
}
