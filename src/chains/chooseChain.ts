/**
 * Chooses the engines for a stream by loads that this VM knows late. With many VMs, what is sent between two
 * reports can fill the engines that look best, so the choice is spread over all engines with room, and over
 * engines of the own failure domain first, whose loads are known sooner.
 */

import { findChain } from './findChain';
import type { ChainSearch } from './findChain';
import { computeJitterWidth, jitterLoads } from './jitterLoads';
import { jitterSpeeds } from './jitterSpeeds';
import type { Stage } from './layerEngine';

export interface ChainChoice extends Omit<ChainSearch, 'isEntry'> {
  /** Number of VMs that choose among the same engines. */
  readonly vms: number;
  /** Whether the stream has lost its engine, most likely together with others. */
  readonly isRecovery: boolean;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

/** Streams that lost the same engine start again at the same moment, so they spread as far as the speeds allow. */
const RECOVERY_JITTER_WIDTH = 1;

/**
 * Factor of the cost of a hop to another failure domain where the speeds are jittered; without it, some path over
 * the links that all streams share would often look cheapest.
 */
const JITTERED_CROSSING_FACTOR = 4;

/** Cost of a path that starts in another failure domain in a large fleet, milliseconds per decoding step. */
const OTHER_DOMAIN_START_MS = 3;

/** @returns the stages in order; undefined if no path has capacity */
export function chooseChain(choice: ChainChoice): readonly Stage[] | undefined {
  const { vms, isRecovery, random, ...search } = choice;
  const engines = jitterLoads(search.engines, vms, random);
  const width = computeJitterWidth(vms);
  const crossingWidth = isRecovery ? RECOVERY_JITTER_WIDTH : width;
  return findChain({
    ...search,
    engines: isRecovery ? jitterSpeeds(engines, RECOVERY_JITTER_WIDTH, random) : engines,
    domainDelayMs: search.domainDelayMs + width * OTHER_DOMAIN_START_MS,
    crossDomainMs: search.crossDomainMs * (1 + crossingWidth * (JITTERED_CROSSING_FACTOR - 1)),
    isEntry: true,
  });
}
