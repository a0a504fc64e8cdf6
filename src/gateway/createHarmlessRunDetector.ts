/**
 * Tells when a stream shows that its content does not end the server that runs it soon, and for how long it has run.
 * Events that arrive together may have waited on the way.
 */

export interface HarmlessRunDetector {
  /**
   * @param events events of this run so far, at least one
   * @returns whether the run is newly known to be harmless; again once a second while it goes on
   */
  readonly recordEvents: (events: number) => boolean;
  /** Whether the run is known to be harmless. */
  readonly isHarmless: () => boolean;
  /** Time from the first event until now, milliseconds; 0 before. */
  readonly ranMs: () => number;
}

/** Time from the first event, and events, after which the server counts as unharmed. */
const HARMLESS_MS = 500;
const HARMLESS_EVENTS = 8;

const REPEAT_MS = 1_000;

/**
 * @param now monotonic clock, milliseconds
 */
export function createHarmlessRunDetector(now: () => number): HarmlessRunDetector {
  let firstEventMs: number | undefined;
  let toldMs: number | undefined;
  return {
    recordEvents: (events) => {
      const nowMs = now();
      firstEventMs ??= nowMs;
      if (nowMs - firstEventMs < HARMLESS_MS || events < HARMLESS_EVENTS) return false;
      if (toldMs !== undefined && nowMs - toldMs < REPEAT_MS) return false;
      toldMs = nowMs;
      return true;
    },
    isHarmless: () => toldMs !== undefined,
    ranMs: () => (firstEventMs === undefined ? 0 : now() - firstEventMs),
  };
}
