/** The use of a workspace before its first request. */

import type { WorkspaceLoad } from './admission';

/** @returns no use, with full credit for one second of the limits once they are known */
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
    seenAtMs: atMs,
    bucket: { requests: Infinity, tokens: Infinity, filledAtMs: atMs },
  };
}
