/**
 * When a VM last knew for certain that its catalog was the newest. A credential that was taken away
 * must not be honoured for long by a VM that hears no news, so the age of the last confirmation
 * bounds what the VM may accept.
 */

/** Readings of the clocks at one moment, milliseconds. */
export interface ClockReading {
  /** Does not count time during which the VM was suspended. */
  readonly monotonicMs: number;
  /** Counts suspended time, but may be stepped either way. */
  readonly wallMs: number;
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
