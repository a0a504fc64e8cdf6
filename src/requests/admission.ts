/** State from which the router decides which requests to admit. */

import type { Map } from 'immutable';
import type { ModelId } from '../engines/engine';
import type { WorkspaceId } from '../workspaces/workspace';

/** Token bucket for request and model-token rates, refilled at the rates that this VM may use. */
export interface RateBucket {
  readonly requests: number;
  readonly tokens: number;
  readonly refilledAtMs: number;
}

/** Usage of one workspace: exact for this VM, taken from digests for the other VMs. */
export interface WorkspaceLoad {
  readonly running: number;
  /** Own requests and tokens since the last digest. */
  readonly requests: number;
  readonly tokens: number;
  /** Own rates as of the last digest. */
  readonly requestsPerSecond: number;
  readonly tokensPerSecond: number;
  /** Own running requests when the other VMs' usage was last received. */
  readonly runningAtDigest: number;
  readonly othersRunning: number;
  readonly othersRequestsPerSecond: number;
  readonly othersTokensPerSecond: number;
  readonly lastActiveAtMs: number;
  readonly bucket: RateBucket;
}

/** Requests of one model on this VM and their concurrency limit. */
export interface ModelLoad {
  /** Limit of concurrent requests; adapted to the latency targets of the model's services. */
  readonly limit: number;
  /** Limit computed from the plan at the last adaptation; 0 before any plan. */
  readonly plannedLimit: number;
  readonly running: number;
  /** Number of running requests of each workspace that has any. */
  readonly runningByWorkspace: Map<WorkspaceId, number>;
  /** Sum of the shares of those workspaces. */
  readonly shareSum: number;
  /** Mean time to the first token in the last period; halved in a period without any; milliseconds. */
  readonly firstTokenMs: number;
  /** Number of first tokens since the last adaptation, and the sum of their times, milliseconds. */
  readonly firstTokenCount: number;
  readonly firstTokenSumMs: number;
}

export interface Admission {
  readonly workspaces: Map<WorkspaceId, WorkspaceLoad>;
  readonly models: Map<ModelId, ModelLoad>;
  /** Time of the last adaptation of limits and rates. */
  readonly adaptedAtMs: number;
}
