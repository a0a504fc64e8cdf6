/**
 * Crashes of backend servers that may be due to one content, whichever requests and VMs saw them. A content
 * is what requests can have in common, identified by a fingerprint.
 */

export interface CrashTally {
  /** Incarnations of backend servers known to have crashed while they ran the content. */
  readonly servers: readonly string[];
  /** Number of crashes, including those whose servers are not known. */
  readonly crashes: number;
  /** Monotonic, milliseconds. */
  readonly lastCrashAtMs: number;
}

/** How many crashes are held against a content, and for how long. */
export interface CrashLimit {
  /** Number of crashes from which the content is refused. */
  readonly maxCrashes: number;
  /** Time after the last crash for which crashes count, milliseconds. */
  readonly validMs: number;
}
