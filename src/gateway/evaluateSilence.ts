/**
 * Decides what to do about a silent stream. An unusual silence triggers a probe of the engines on the path.
 * A silence proves neither that the run has ended nor that its engine is gone, since sound engines fall
 * silent for a second or so. A move starts another run beside the silent one, which costs its prefill, so
 * something has to set the engine apart. Where it does not answer probes, the move is due once the next event
 * is late, or sooner if other engines have answered meanwhile. Where its other streams continue, only this
 * connection may be dead or slow, and the move waits until the caller would soon leave. Under overload all
 * streams are silent, and moving them would add to it.
 */

export interface Silence {
  /** Time since the last event, or since the request was sent, milliseconds. */
  readonly silentMs: number;
  readonly hasEvents: boolean;
  /** Mean time between the events so far, milliseconds. */
  readonly meanGapMs: number;
  /** Target for the first event, milliseconds. */
  readonly targetMs: number;
  /** Target for the gap between events, milliseconds. */
  readonly targetGapMs: number;
  /** Time since the last event of any stream through the same first engine, milliseconds. */
  readonly entryEngineSilentMs: number;
  /** Whether the first engine is suspected to have failed, has restarted or is not listed any more. */
  readonly isEntrySuspected: boolean;
  /** Whether the first engine has not answered a probe, though other engines of its chain have. */
  readonly isEntryUnanswered: boolean;
  /** Whether the first engine says that it does not know the run any more. */
  readonly isRunGone: boolean;
  /** Whether the caller has received events, of this run or another. */
  readonly hasBegun: boolean;
  /** Time since the request arrived, milliseconds. */
  readonly sinceArrivalMs: number;
  /** Time since the engines were last probed, milliseconds. */
  readonly sinceProbeMs: number;
  /** Whether an unusual silence is reason enough for a probe, or only one after which the next event is nearly late. */
  readonly mayProbeEarly: boolean;
}

export interface SilenceVerdict {
  readonly isProbeDue: boolean;
  /** Whether the stream should move to another first engine, if one can take it. */
  readonly isMoveDue: boolean;
}

/** Multiple of the mean gap from which a silence is unusual. */
const UNUSUAL_GAPS = 2.2;

/**
 * Share of the target gap that passes before a probe, so ordinary jitter triggers none. The rest is left
 * for the engine's answer, the order to repair the chain and the prefill on the replacement.
 */
const PROBE_SHARE = 0.35;

/** Share of the target gap that passes before a probe where unusual silences are common. */
const LATE_PROBE_SHARE = 0.8;

/** Share of the first event's target that passes before a probe. */
const FIRST_PROBE_SHARE = 0.7;

/** Shortest time between two probes for the same stream; reports lag by about as much. */
const PROBE_INTERVAL_MS = 200;

/** Share of a silence for which no further probe follows: the longer it lasts, the less a probe tells. */
const PROBE_PAUSE_SHARE = 0.5;

/** Callers leave after the longest of this silence and these multiples of the two targets. */
const SHORTEST_PATIENCE_MS = 2_000;
const PATIENCE_TARGETS = 4;
const PATIENCE_GAPS = 8;

/** Share of a caller's patience after which a stream moves; the rest is for connecting and prefill. */
const MOVE_SHARE = 0.6;

/** @returns gap between two events from which it is unusual, milliseconds */
export function computeUnusualGap({
  meanGapMs,
  targetGapMs,
}: Pick<Silence, 'meanGapMs' | 'targetGapMs'>): number {
  return Math.max(targetGapMs * PROBE_SHARE, meanGapMs * UNUSUAL_GAPS);
}

/** Judges a silence that may have just begun. */
export function evaluateSilence(silence: Silence): SilenceVerdict {
  const { silentMs, hasEvents, targetMs, targetGapMs, isEntrySuspected } = silence;
  const isSilentAlone = hasEvents && silence.entryEngineSilentMs < targetGapMs;
  const patienceMs = Math.max(
    SHORTEST_PATIENCE_MS,
    targetMs * PATIENCE_TARGETS,
    targetGapMs * PATIENCE_GAPS,
  );
  const isOutOfPatience = silentMs >= patienceMs * MOVE_SHARE;
  const isEntryDoubtful = isEntrySuspected || silence.isEntryUnanswered;
  const isStartAtRisk = isEntryDoubtful && !silence.hasBegun && silence.sinceArrivalMs < targetMs;
  const isLost = (silence.isRunGone || isEntrySuspected) && silentMs >= targetGapMs;
  const unusualMs = hasEvents ? computeUnusualGap(silence) : targetMs * FIRST_PROBE_SHARE;
  const lateMs = hasEvents && !silence.mayProbeEarly ? targetGapMs * LATE_PROBE_SHARE : 0;
  // The answer may be missing for longer than the events.
  const isUnanswered = silence.isEntryUnanswered && silentMs >= unusualMs;
  const probeIntervalMs = Math.max(PROBE_INTERVAL_MS, silentMs * PROBE_PAUSE_SHARE);
  return {
    isProbeDue: silentMs >= Math.max(unusualMs, lateMs) && silence.sinceProbeMs >= probeIntervalMs,
    isMoveDue: isStartAtRisk || isUnanswered || isLost || (isOutOfPatience && isSilentAlone),
  };
}
