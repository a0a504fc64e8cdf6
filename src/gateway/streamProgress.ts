/** How far a stream has come, over all of its attempts. */

export interface StreamProgress {
  /** Id of the last event that the caller was sent. */
  readonly lastEventId: string | undefined;
  readonly events: number;
  /** Mean time between events, milliseconds; 0 before the second. */
  readonly meanGapMs: number;
  /** When the last event came, or the attempt was sent, monotonic, milliseconds. */
  readonly activeMs: number;
}

/** Weight of the newest gap in the mean. */
const NEWEST_WEIGHT = 0.2;

/** Notes one more event. */
export function noteEvent(
  progress: StreamProgress,
  id: string | undefined,
  nowMs: number,
): StreamProgress {
  const gapMs = nowMs - progress.activeMs;
  const meanGapMs =
    progress.events <= 1 ? gapMs : progress.meanGapMs * (1 - NEWEST_WEIGHT) + gapMs * NEWEST_WEIGHT;
  return {
    lastEventId: id ?? progress.lastEventId,
    events: progress.events + 1,
    meanGapMs: progress.events === 0 ? 0 : meanGapMs,
    activeMs: nowMs,
  };
}

/**
 * Compares the ids of two events of a stream.
 *
 * @returns whether the event comes after the one that the caller has
 */
export function isNewer(id: string | undefined, lastEventId: string | undefined): boolean {
  if (id === undefined || lastEventId === undefined) return true;
  const [next, last] = [Number(id), Number(lastEventId)];
  return Number.isFinite(next) && Number.isFinite(last) ? next > last : id !== lastEventId;
}
