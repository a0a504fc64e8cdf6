/** Work on one engine as known to this VM: its own exactly, that of other VMs from delayed reports. */

/** A load report as received by this VM. */
export interface ReceivedLoadReport {
  readonly sequence: number;
  readonly running: number;
  readonly queued: number;
  readonly stepMicros: number;
  /** Time at which the engine created it, on this VM's clock, milliseconds. */
  readonly reportedAtMs: number;
  /** Own streams on the engine when the report arrived. */
  readonly ownRunning: number;
}

export interface EngineLoad {
  /** Own open streams whose route includes the engine. */
  readonly running: number;
  /** Own tokens that the engine has yet to prefill. */
  readonly prefillTokens: number;
  /** Time of its last token, milliseconds; kept to a resolution of `SERVED_RESOLUTION_MS`. */
  readonly servedAtMs: number;
  /** Time at which it last failed a stream of this VM, milliseconds; initially minus infinity. */
  readonly failedAtMs: number;
  readonly report: ReceivedLoadReport | undefined;
}
