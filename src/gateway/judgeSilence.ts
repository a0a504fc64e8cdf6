/**
 * Decides what to do about a stream that has been silent for a while. A crashed engine is found by
 * asking the engines of the path as soon as the silence stands out. A run is given up only where its
 * connection must be dead, since other streams of the same engine go on: under overload every stream
 * is silent, and runs that are given up have to be read again, which feeds the overload.
 */

export interface Silence {
  /** Since the last event, or since the request was sent, milliseconds. */
  readonly silentMs: number;
  readonly hasEvents: boolean;
  /** Mean time between the events so far, milliseconds. */
  readonly meanGapMs: number;
  /** Target for the first event, milliseconds. */
  readonly targetMs: number;
  /** Target for the pause between events, milliseconds. */
  readonly targetGapMs: number;
  /** Since any stream through the same first engine had an event, milliseconds. */
  readonly othersSilentMs: number;
  /** Since the engines were last asked, milliseconds. */
  readonly sinceProbeMs: number;
}

export type SilenceVerdict = 'wait' | 'probe' | 'give-up';

/** Multiple of the mean gap that stands out. */
const UNUSUAL_GAPS = 2.2;

/**
 * Part of the target gap that has to pass in silence, so that ordinary jitter asks nobody; the rest is
 * left for the answer, the order, and the replacement to read the request.
 */
const PROBE_SHARE = 0.35;

/** Part of the first event's target that has to pass before the engines are asked. */
const FIRST_PROBE_SHARE = 0.7;

/** Time between two questions for the same stream, milliseconds; reports lag by about as much. */
const PROBE_INTERVAL_MS = 200;

/** Targets that a silence may last; callers leave at four, or eight gaps, so this leaves time to resume. */
const GIVE_UP_TARGETS = 2.6;

/** @returns what to do now */
export function judgeSilence(silence: Silence): SilenceVerdict {
  const { silentMs, hasEvents, meanGapMs, targetMs, targetGapMs, sinceProbeMs } = silence;
  const isAlone = hasEvents && silence.othersSilentMs < targetGapMs;
  if (isAlone && silentMs >= targetMs * GIVE_UP_TARGETS) return 'give-up';
  const unusualMs = hasEvents
    ? Math.max(targetGapMs * PROBE_SHARE, meanGapMs * UNUSUAL_GAPS)
    : targetMs * FIRST_PROBE_SHARE;
  return silentMs >= unusualMs && sinceProbeMs >= PROBE_INTERVAL_MS ? 'probe' : 'wait';
}
