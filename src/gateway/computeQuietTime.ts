/**
 * Computes for how long a backend server that asked for it gets no requests. All VMs that were turned away
 * would come back together, so each adds a random part.
 */

/** Longest quiet time that is kept; a longer one counts as this. */
const MAX_QUIET_MS = 300_000;

/** Share of the quiet time over which returns are spread, and the longest spread. */
const SPREAD_SHARE = 0.25;
const MAX_SPREAD_MS = 500;

/**
 * @param wantedMs quiet time that the server asked for, milliseconds
 * @param random uniform in [0, 1)
 * @returns milliseconds
 */
export function computeQuietTime(wantedMs: number, random: number): number {
  const boundedMs = Math.min(wantedMs, MAX_QUIET_MS);
  return boundedMs + Math.min(boundedMs * SPREAD_SHARE, MAX_SPREAD_MS) * random;
}
