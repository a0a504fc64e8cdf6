/** Merges the other VMs' usage of the workspaces into admission. */

import { createWorkspaceLoad } from './createWorkspaceLoad';
import type { Router } from './router';
import type { RouterEvent } from './routerMessage';

type UseLearned = Extract<RouterEvent, { readonly type: 'use-learned' }>;

/** @returns the router with the others' usage, which is zero for workspaces that are not listed */
export function mergeUsage(router: Router, { usages, acceptingVms, atMs }: UseLearned): Router {
  let workspaces = router.admission.workspaces.map((load) => ({
    ...load,
    runningAtDigest: load.running,
    othersRunning: 0,
    othersRequestsPerSecond: 0,
    othersTokensPerSecond: 0,
  }));
  for (const usage of usages) {
    if (!router.configuration.workspace.has(usage.workspace)) continue;
    const load = workspaces.get(usage.workspace) ?? createWorkspaceLoad(atMs);
    workspaces = workspaces.set(usage.workspace, {
      ...load,
      othersRunning: usage.running,
      othersRequestsPerSecond: usage.requestsPerSecond,
      othersTokensPerSecond: usage.tokensPerSecond,
      lastActiveAtMs: usage.running > 0 ? atMs : load.lastActiveAtMs,
    });
  }
  const admission = { ...router.admission, workspaces };
  return { ...router, admission, acceptingVms: Math.max(1, acceptingVms) };
}
