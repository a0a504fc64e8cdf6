/** Merges the other VMs' usage of the workspaces into admission. */

import { createWorkspaceLoad } from './createWorkspaceLoad';
import type { Router } from './router';
import type { RouterEvent } from './routerMessage';

type UseLearned = Extract<RouterEvent, { readonly type: 'use-learned' }>;

/** @returns the router with the others' usage, which is zero for workspaces that are not listed */
export function mergeUsage(router: Router, { usage, acceptingVms, atMs }: UseLearned): Router {
  let workspaces = router.admission.workspaces.map((load) => ({
    ...load,
    runningAtDigest: load.running,
    othersRunning: 0,
    othersRequestsPerSecond: 0,
    othersTokensPerSecond: 0,
  }));
  for (const item of usage) {
    if (!router.configuration.workspace.has(item.workspace)) continue;
    const load = workspaces.get(item.workspace) ?? createWorkspaceLoad(atMs);
    workspaces = workspaces.set(item.workspace, {
      ...load,
      othersRunning: item.running,
      othersRequestsPerSecond: item.requestsPerSecond,
      othersTokensPerSecond: item.tokensPerSecond,
      lastActiveAtMs: item.running > 0 ? atMs : load.lastActiveAtMs,
    });
  }
  const admission = { ...router.admission, workspaces };
  return { ...router, admission, acceptingVms: Math.max(1, acceptingVms) };
}
