/** What this VM knows of the work on one engine: its own exactly, the others' from a late report. */

/** A load report as it reached this VM. */
export interface SeenReport {
  readonly sequence: number;
  readonly running: number;
  readonly queued: number;
  readonly stepMicros: number;
  /** When the engine made it, on this VM's clock, milliseconds. */
  readonly madeAtMs: number;
  /** Own streams on the engine when the report came in. */
  readonly ownRunning: number;
}

export interface EngineUse {
  /** Own streams that are open through the engine. */
  readonly running: number;
  /** Own tokens that are still to be prefilled there. */
  readonly prefillTokens: number;
  /** When a token last came back from it, milliseconds; rounded down to `SERVED_STEP_MS`. */
  readonly servedAtMs: number;
  /** When it last failed a stream of this VM, milliseconds; before any, minus infinity. */
  readonly failedAtMs: number;
  readonly report: SeenReport | undefined;
}
