/**
 * Computes for how long a content is refused. Afterwards requests run again, since one that is refused can't show
 * that it does no harm; each further crash makes the time longer, as each trial costs a server.
 */

import type { ContentLimit } from './crashLimitOf';

/** Factor by which each crash beyond the limit makes the time longer. */
const GROWTH = 4;

/**
 * @param crashes number of crashes, at least the limit's
 * @returns time from the last crash, milliseconds; never longer than crashes count
 */
export function computeHoldMs(
  crashes: number,
  { maxCrashes, holdMs, validMs }: ContentLimit,
): number {
  return Math.min(validMs, holdMs * GROWTH ** (crashes - maxCrashes));
}
