/** Progress of a stream over all of its attempts. */

export interface StreamProgress {
  /** Id of the last event sent to the caller. */
  readonly lastEventId: string | undefined;
  readonly events: number;
  /** Mean time between events, milliseconds; 0 before the second event. */
  readonly meanGapMs: number;
  /** Time of the last event or of the start of the attempt, monotonic, milliseconds. */
  readonly lastActivityMs: number;
}

/** Weight of the newest gap in the mean. */
const NEWEST_WEIGHT = 0.2;

/** Adds an event to the progress. */
export function recordEvent(
  progress: StreamProgress,
  id: string | undefined,
  nowMs: number,
): StreamProgress {
  const gapMs = nowMs - progress.lastActivityMs;
  const meanGapMs =
    progress.events <= 1 ? gapMs : progress.meanGapMs * (1 - NEWEST_WEIGHT) + gapMs * NEWEST_WEIGHT;
  return {
    lastEventId: id ?? progress.lastEventId,
    events: progress.events + 1,
    meanGapMs: progress.events === 0 ? 0 : meanGapMs,
    lastActivityMs: nowMs,
  };
}

/** An id that is a whole number; some are longer than a floating-point number can tell apart. */
const WHOLE_NUMBER = /^\d{1,40}$/;

/**
 * Compares the ids of two events of a stream.
 *
 * @returns whether the event comes after the last one that the caller received
 */
export function isNewer(id: string | undefined, lastEventId: string | undefined): boolean {
  if (id === undefined || lastEventId === undefined) return true;
  if (WHOLE_NUMBER.test(id) && WHOLE_NUMBER.test(lastEventId))
    return BigInt(id) > BigInt(lastEventId);
  const [next, last] = [Number(id), Number(lastEventId)];
  return Number.isFinite(next) && Number.isFinite(last) ? next > last : id !== lastEventId;
}
