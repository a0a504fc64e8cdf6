/**
 * Chooses the engines for a stream by loads that this VM knows late. With many VMs, what is sent between two
 * reports can fill the engines that look best, so the choice is spread over all engines with room, and over
 * engines of the own failure domain first, whose loads are known sooner.
 */

import { findChain } from './findChain';
import type { ChainSearch } from './findChain';
import { computeJitterWidth, jitterLoads } from './jitterLoads';
import type { Stage } from './layerEngine';

export interface ChainChoice extends Omit<ChainSearch, 'isEntry'> {
  /** Number of VMs that choose among the same engines. */
  readonly vms: number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

/** Cost of a path that starts in another failure domain in a large fleet, milliseconds per decoding step. */
const OTHER_DOMAIN_START_MS = 3;

/** @returns the stages in order; undefined if no path has capacity */
export function chooseChain({ vms, random, ...search }: ChainChoice): readonly Stage[] | undefined {
  return findChain({
    ...search,
    engines: jitterLoads(search.engines, vms, random),
    domainDelayMs: search.domainDelayMs + computeJitterWidth(vms) * OTHER_DOMAIN_START_MS,
    isEntry: true,
  });
}
