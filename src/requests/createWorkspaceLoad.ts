/** Creates the load of a workspace before its first request. */

import type { WorkspaceLoad } from './admission';

/** @returns a load without usage; its unlimited credit is capped at the first refill */
export function createWorkspaceLoad(atMs: number): WorkspaceLoad {
  return {
    running: 0,
    requests: 0,
    tokens: 0,
    requestsPerSecond: 0,
    tokensPerSecond: 0,
    runningAtDigest: 0,
    othersRunning: 0,
    othersRequestsPerSecond: 0,
    othersTokensPerSecond: 0,
    lastActiveAtMs: atMs,
    bucket: { requests: Infinity, tokens: Infinity, refilledAtMs: atMs },
  };
}
