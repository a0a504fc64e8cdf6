/**
 * Decides when a running stream is moved off an engine that is leaving. Every move repeats the prefill on
 * another engine; if all streams of an engine move at once, the engines that take them over are busy with
 * prefill for a second and delay all their other requests. Streams that will end in time therefore stay,
 * and the moves of the others are spread over the remaining time.
 */

export interface StreamMigration {
  /** Time for which an engine that is leaving still serves, milliseconds. */
  readonly drainMs: number;
  /** Expected number of further events of the stream. */
  readonly remainingEvents: number;
  /** Mean time between its events, milliseconds. */
  readonly meanGapMs: number;
  /** Uniform in [0, 1). */
  readonly random: number;
}

/** Share of the drain time in which streams end or move; servers serve slightly longer than they must. */
const USED_SHARE = 0.95;

/** Share of the used time after which moves begin; many streams end by themselves before. */
const FIRST_MOVE_SHARE = 0.6;

/** @returns milliseconds until the move, undefined if the stream will end in time */
export function planStreamMigration(migration: StreamMigration): number | undefined {
  const { drainMs, remainingEvents, meanGapMs, random } = migration;
  const lastMs = drainMs * USED_SHARE;
  const endsInMs = meanGapMs > 0 ? remainingEvents * meanGapMs : Number.POSITIVE_INFINITY;
  if (endsInMs < lastMs) return undefined;
  return lastMs * (FIRST_MOVE_SHARE + (1 - FIRST_MOVE_SHARE) * random);
}
