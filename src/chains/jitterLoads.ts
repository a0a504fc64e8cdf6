/**
 * Adds random jitter to what is known of engines. VMs receive each other's work with a delay, so many VMs with
 * the same outdated loads would choose the same engines and fill them before they learn of it. The jitter
 * grows with the number of VMs, and that of the speeds also with the load: the fastest engines take most
 * streams while there is room, and streams spread by free memory as it gets scarce.
 */

import { jitterSpeeds } from './jitterSpeeds';
import type { ChainEngine } from './layerEngine';

/** Number of VMs from which the jitter has its full width. */
const FULL_JITTER_VMS = 50;

/** Share of all memory in use from which the speeds have their full jitter. */
const FULL_SPEED_JITTER_SHARE = 0.25;

/**
 * @param engines the engines with their known loads
 * @param vms number of VMs that choose among the engines
 * @param random uniform in [0, 1)
 * @returns the engines with a random amount added to `reserved`, and a random factor to `layerStepMs`
 */
export function jitterLoads(
  engines: readonly ChainEngine[],
  vms: number,
  random: () => number,
): readonly ChainEngine[] {
  const width = computeJitterWidth(vms);
  const speedWidth = width * Math.min(1, computeUsedShare(engines) / FULL_SPEED_JITTER_SHARE);
  return jitterSpeeds(engines, speedWidth, random).map((engine) => {
    const free = Math.max(0, engine.capacity - engine.reserved);
    return { ...engine, reserved: engine.reserved + random() * width * free };
  });
}

/**
 * @param vms number of VMs that choose among the same engines
 * @returns 0 for one VM to 1 for a large fleet
 */
export function computeJitterWidth(vms: number): number {
  return Math.min(1, (vms - 1) / FULL_JITTER_VMS);
}

function computeUsedShare(engines: readonly ChainEngine[]): number {
  const reserved = engines.reduce((sum, engine) => sum + engine.reserved, 0);
  const capacity = engines.reduce((sum, engine) => sum + engine.capacity, 0);
  return capacity === 0 ? 0 : reserved / capacity;
}
