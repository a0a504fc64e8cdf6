/**
 * Adds random jitter to the known loads of engines. VMs receive each other's work with a delay, so many
 * VMs with the same outdated loads would choose the same engines. The jitter grows with the number of VMs.
 */

import type { ChainEngine } from './layerEngine';

/** Number of VMs from which the jitter has its full width. */
const FULL_JITTER_VMS = 50;

/** Full width of the jitter, as a share of an engine's free capacity. */
const FULL_JITTER_SHARE = 0.4;

/**
 * @param engines the engines with their known loads
 * @param vms number of VMs that choose among the engines
 * @param random uniform in [0, 1)
 * @returns the engines with a random amount added to `reserved`
 */
export function jitterLoads(
  engines: readonly ChainEngine[],
  vms: number,
  random: () => number,
): readonly ChainEngine[] {
  const width = Math.min(1, (vms - 1) / FULL_JITTER_VMS) * FULL_JITTER_SHARE;
  return engines.map((engine) => {
    const free = Math.max(0, engine.capacity - engine.reserved);
    return { ...engine, reserved: engine.reserved + random() * width * free };
  });
}
