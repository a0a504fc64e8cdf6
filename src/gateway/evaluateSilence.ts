/**
 * Decides what to do about a silent stream. An unusual silence triggers a probe of the engines on the
 * path, which finds a crashed engine. An attempt is abandoned only while other streams of the same engine
 * continue, because its connection must then be dead. Under overload all streams are silent, and
 * abandoning them would repeat their prefill and add to the overload.
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
  /** Time since the engines were last probed, milliseconds. */
  readonly sinceProbeMs: number;
}

export type SilenceAction = 'wait' | 'probe' | 'give-up';

/** Multiple of the mean gap from which a silence is unusual. */
const UNUSUAL_GAPS = 2.2;

/**
 * Share of the target gap that passes before a probe, so ordinary jitter triggers none. The rest is left
 * for the engine's answer, the order to repair the chain and the prefill on the replacement.
 */
const PROBE_SHARE = 0.35;

/** Share of the first event's target that passes before a probe. */
const FIRST_PROBE_SHARE = 0.7;

/** Time between two probes for the same stream; reports lag by about as much. */
const PROBE_INTERVAL_MS = 200;

/**
 * Silence, in multiples of the target, after which an attempt is abandoned. Callers leave after four
 * targets or eight gaps, so enough time is left to resume.
 */
const GIVE_UP_TARGETS = 2.6;

/** @returns the action to take now */
export function evaluateSilence(silence: Silence): SilenceAction {
  const { silentMs, hasEvents, meanGapMs, targetMs, targetGapMs, sinceProbeMs } = silence;
  const isSilentAlone = hasEvents && silence.entryEngineSilentMs < targetGapMs;
  if (isSilentAlone && silentMs >= targetMs * GIVE_UP_TARGETS) return 'give-up';
  const unusualMs = hasEvents
    ? Math.max(targetGapMs * PROBE_SHARE, meanGapMs * UNUSUAL_GAPS)
    : targetMs * FIRST_PROBE_SHARE;
  return silentMs >= unusualMs && sinceProbeMs >= PROBE_INTERVAL_MS ? 'probe' : 'wait';
}
