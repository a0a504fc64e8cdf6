/**
 * Measures how late this process runs: a timer that comes late shows how long everything else has waited. While a
 * VM is slow or was frozen, the silence of others says nothing about them, since their answers wait here.
 */

export interface LagMonitor {
  /** Records that the timer has run; called every `LAG_INTERVAL_MS`. */
  readonly tick: () => void;
  /** Whether answers may have waited here in the last moments. */
  readonly isLate: () => boolean;
  /** Mean lag of the last second, milliseconds; a single long stop counts for no more than half a second. */
  readonly meanLagMs: () => number;
}

/** Interval of the timer, milliseconds. */
export const LAG_INTERVAL_MS = 100;

/** Lag from which answers may miss their timeouts, some of which are 250 ms. */
const LATE_MS = 100;

/** Time after a late run in which timeouts that began before it still end, milliseconds. */
const LATE_VALID_MS = 600;

/** Runs of the timer in a second. */
const MEAN_TICKS = 10;

const MAX_COUNTED_LAG_MS = 500;

/** @param now monotonic clock, milliseconds */
export function createLagMonitor(now: () => number): LagMonitor {
  let lastTickMs = now();
  let lateMs = Number.NEGATIVE_INFINITY;
  let lags: readonly number[] = [];
  const computeLag = (): number => Math.max(0, now() - lastTickMs - LAG_INTERVAL_MS);
  return {
    tick: () => {
      const lagMs = computeLag();
      lastTickMs = now();
      if (lagMs >= LATE_MS) lateMs = lastTickMs;
      lags = [...lags.slice(1 - MEAN_TICKS), Math.min(MAX_COUNTED_LAG_MS, lagMs)];
    },
    isLate: () => computeLag() >= LATE_MS || now() - lateMs < LATE_VALID_MS,
    meanLagMs: () => lags.reduce((sum, lagMs) => sum + lagMs, 0) / MEAN_TICKS,
  };
}
