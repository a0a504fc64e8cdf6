/**
 * When a VM last knew for certain that its catalog was the newest. A credential that was taken away
 * must not be honoured for long by a VM that hears no news, so the age of the last confirmation
 * bounds what the VM may accept.
 */

import type { RelayedAge } from '../contracts/watchedStore';

/** Readings of the clocks at one moment, milliseconds. */
export interface ClockReading {
  /** Does not count time during which the VM was suspended. */
  readonly monotonicMs: number;
  /** Counts suspended time, but may be stepped either way. */
  readonly wallMs: number;
}

/** Time for which a store that is about to drop its history may keep changes back, milliseconds. */
const WITHHELD_MS = 1_000;

/**
 * A wait for changes that ended without one says that there was none until shortly before its end,
 * since the store does not answer earlier without a change. Both clocks are read when the wait begins:
 * the VM may be suspended before it reads the answer.
 *
 * @param sent when the wait was asked for
 * @param waitMs how long the store was to wait, milliseconds
 * @returns the time until which there was no change
 */
export function computeConfirmedTime(sent: ClockReading, waitMs: number): ClockReading {
  const knownMs = Math.max(0, waitMs - WITHHELD_MS);
  return { monotonicMs: sent.monotonicMs + knownMs, wallMs: sent.wallMs + knownMs };
}

/**
 * The same for an answer of another VM that follows the store. What it held the question for is safe to
 * add: the answer was not given earlier.
 *
 * @param sent when the question was asked
 * @param age what the other VM says of its answer
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
 * Time since a reading. A suspended VM's monotonic clock stands still while its wall clock goes on,
 * so the larger of the two differences counts.
 *
 * @param since the earlier reading
 * @param now the later reading
 * @returns milliseconds, never too few unless the wall clock was stepped back during a suspension
 */
export function elapsedMs(since: ClockReading, now: ClockReading): number {
  return Math.max(now.monotonicMs - since.monotonicMs, now.wallMs - since.wallMs);
}
