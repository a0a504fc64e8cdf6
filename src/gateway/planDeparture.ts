/**
 * Decides when a running stream is moved off an engine that is leaving. Every move makes another engine
 * read the request again; when all streams of an engine move at once, the engines that take them over
 * read for a second and everything behind them waits. So streams that will end in time stay, and the
 * others move at moments spread over the time that is left.
 */

export interface Departure {
  /** Time for which a leaving engine still serves, milliseconds. */
  readonly drainMs: number;
  /** Events that the stream is still expected to have. */
  readonly eventsLeft: number;
  /** Mean time between its events, milliseconds. */
  readonly meanGapMs: number;
  /** Uniform in [0, 1). */
  readonly draw: number;
}

/** Part of the drain time in which streams end or move; servers stay a little longer than they must. */
const USED_SHARE = 0.95;

/** Part of the used time after which moves begin; until then many streams end by themselves. */
const FIRST_MOVE_SHARE = 0.6;

/** @returns milliseconds until the move, undefined where the stream will have ended by then */
export function planDeparture(departure: Departure): number | undefined {
  const { drainMs, eventsLeft, meanGapMs, draw } = departure;
  const lastMs = drainMs * USED_SHARE;
  const endsInMs = meanGapMs > 0 ? eventsLeft * meanGapMs : Number.POSITIVE_INFINITY;
  if (endsInMs < lastMs) return undefined;
  return lastMs * (FIRST_MOVE_SHARE + (1 - FIRST_MOVE_SHARE) * draw);
}
