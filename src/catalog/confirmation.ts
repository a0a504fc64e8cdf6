/**
 * Computes when a VM's catalog was last confirmed as the newest. A VM that receives no changes must not
 * accept a revoked credential for long, so the age of the last confirmation limits which requests it may
 * accept.
 */

import type { RelayedAge } from '../contracts/watchedStore';

/** Readings of the clocks at one moment, milliseconds. */
export interface ClockReading {
  /** Does not count time during which the VM was suspended. */
  readonly monotonicMs: number;
  /** Counts suspended time, but may be stepped either way. */
  readonly wallMs: number;
}

/** Time for which a store may withhold changes before it drops its history. */
const WITHHELD_MS = 1_000;

/**
 * Computes the confirmed time from a wait for changes that ended without one. The store does not answer
 * early without a change, so there was none until shortly before the end of the wait. The wait counts from
 * clock readings taken at its start, because the VM may be suspended before it reads the answer.
 *
 * @param sent clock readings when the wait was requested
 * @param waitMs requested duration of the wait, milliseconds
 * @returns the time until which there was no change
 */
export function computeConfirmedTime(sent: ClockReading, waitMs: number): ClockReading {
  const knownMs = waitMs - WITHHELD_MS;
  return { monotonicMs: sent.monotonicMs + knownMs, wallMs: sent.wallMs + knownMs };
}

/**
 * Computes the confirmed time from the answer of another VM that follows the store. The time for which that
 * VM held the request can be added, since it did not answer earlier.
 *
 * @param sent clock readings when the request was sent
 * @param age time for which the other VM held the request and age of its own confirmation
 * @returns the time until which there was no change
 */
export function computeRelayedConfirmedTime(
  sent: ClockReading,
  { heldMs, agoMs }: RelayedAge,
): ClockReading {
  const knownMs = heldMs - agoMs;
  return { monotonicMs: sent.monotonicMs + knownMs, wallMs: sent.wallMs + knownMs };
}

/**
 * Time since a clock reading. The monotonic clock of a suspended VM stops while its wall clock continues,
 * so the larger of the two differences counts.
 *
 * @param since the earlier reading
 * @param now the later reading
 * @returns milliseconds; too few only if the wall clock was stepped back during a suspension
 */
export function elapsedMs(since: ClockReading, now: ClockReading): number {
  return Math.max(now.monotonicMs - since.monotonicMs, now.wallMs - since.wallMs);
}
