/** A workspace: one customer's callers, with their share of the fleet and their limits. */

/** Name of a workspace, unique in the fleet. */
export type WorkspaceId = string;

export interface WorkspaceLimits {
  readonly requestsPerSecond: number;
  readonly tokensPerSecond: number;
  readonly concurrentRequests: number;
}

export interface Workspace {
  readonly id: WorkspaceId;
  /** Weight in fair sharing, relative to the other workspaces. */
  readonly share: number;
  readonly limits: WorkspaceLimits;
  /** SHA-256 of each accepted bearer token, lower-case hexadecimal. */
  readonly tokenHashes: readonly string[];
}
