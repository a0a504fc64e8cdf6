/**
 * Blurs what is known of engines' loads. VMs learn each other's work with a delay; the more of them
 * decide by the same old picture, the more send their requests to the same engines, so each adds a
 * random part to every engine's load that grows with their number.
 */

import type { ChainEngine } from './layerEngine';

/** Number of VMs from which the blur is at its full width. */
const FULL_BLUR_VMS = 50;

/** Widest blur, as a part of an engine's room. */
const FULL_BLUR_SHARE = 0.4;

/**
 * @param engines the engines as they are known
 * @param vms VMs that choose among them
 * @param random uniform in [0, 1)
 * @returns the engines with a random part added to what is reserved
 */
export function blurLoads(
  engines: readonly ChainEngine[],
  vms: number,
  random: () => number,
): readonly ChainEngine[] {
  const width = Math.min(1, (vms - 1) / FULL_BLUR_VMS) * FULL_BLUR_SHARE;
  return engines.map((engine) => {
    const free = Math.max(0, engine.capacity - engine.reserved);
    return { ...engine, reserved: engine.reserved + random() * width * free };
  });
}
