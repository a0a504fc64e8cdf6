/** What the router keeps to decide which requests it takes in. */

import type { Map } from 'immutable';
import type { WorkspaceId } from '../workspaces/workspace';

/** Credit for requests and tokens, refilled at the rate that this VM may use. */
export interface Bucket {
  readonly requests: number;
  readonly tokens: number;
  readonly filledAtMs: number;
}

/** Use of one workspace: own exactly, the other VMs' from their digests. */
export interface WorkspaceLoad {
  readonly running: number;
  /** Own requests and tokens since the last digest. */
  readonly requests: number;
  readonly tokens: number;
  /** Own rates as of the last digest. */
  readonly requestsPerSecond: number;
  readonly tokensPerSecond: number;
  /** Own requests that ran when the other VMs' use was last learned. */
  readonly runningAtDigest: number;
  readonly othersRunning: number;
  readonly othersRequestsPerSecond: number;
  readonly othersTokensPerSecond: number;
  readonly seenAtMs: number;
  readonly bucket: Bucket;
}

export interface Admission {
  readonly workspaces: Map<WorkspaceId, WorkspaceLoad>;
  /** Requests that this VM runs at once; follows the time to the first token. */
  readonly limit: number;
  /** Recent mean time to the first token, milliseconds; 0 before any. */
  readonly firstTokenMs: number;
  /** First tokens since the last adaptation, and their times in sum, milliseconds. */
  readonly firstTokens: number;
  readonly firstTokenSumMs: number;
  /** When the limit was last lowered. */
  readonly loweredAtMs: number;
  /** When the limit and the rates were last worked out. */
  readonly adaptedAtMs: number;
}
