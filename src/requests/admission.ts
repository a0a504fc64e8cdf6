/** What the router keeps to decide which requests it takes in. */

import type { Map } from 'immutable';
import type { ModelId } from '../engines/engine';
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

/** Requests of one model on this VM, and the limit that they are held to. */
export interface ModelLoad {
  /** Requests that this VM runs at once; follows the service's targets. */
  readonly limit: number;
  /** Limit that the plan gave when `limit` was last worked out; 0 before any plan. */
  readonly plannedLimit: number;
  readonly running: number;
  /** Running requests of each workspace that has any. */
  readonly runningOf: Map<WorkspaceId, number>;
  /** Shares of those workspaces in sum. */
  readonly shares: number;
  /** Recent mean time to the first token, milliseconds; 0 before any. */
  readonly firstTokenMs: number;
  /** First tokens since the last adaptation, and their times in sum, milliseconds. */
  readonly firstTokens: number;
  readonly firstTokenSumMs: number;
}

export interface Admission {
  readonly workspaces: Map<WorkspaceId, WorkspaceLoad>;
  readonly models: Map<ModelId, ModelLoad>;
  /** When the limits and the rates were last worked out. */
  readonly adaptedAtMs: number;
}
