/** Takes the other VMs' use of the workspaces in. */

import { createWorkspaceLoad } from './createWorkspaceLoad';
import type { Router } from './router';
import type { RouterEvent } from './routerMessage';

type UseLearned = Extract<RouterEvent, { readonly type: 'use-learned' }>;

/** @returns the router with the others' use; workspaces that are not named count as unused there */
export function learnUse(router: Router, { uses, acceptingVms, atMs }: UseLearned): Router {
  let workspaces = router.admission.workspaces.map((load) => ({
    ...load,
    runningAtDigest: load.running,
    othersRunning: 0,
    othersRequestsPerSecond: 0,
    othersTokensPerSecond: 0,
  }));
  for (const use of uses) {
    if (!router.configuration.workspace.has(use.workspace)) continue;
    const load = workspaces.get(use.workspace) ?? createWorkspaceLoad(atMs);
    workspaces = workspaces.set(use.workspace, {
      ...load,
      othersRunning: use.running,
      othersRequestsPerSecond: use.requestsPerSecond,
      othersTokensPerSecond: use.tokensPerSecond,
      seenAtMs: use.running > 0 ? atMs : load.seenAtMs,
    });
  }
  const admission = { ...router.admission, workspaces };
  return { ...router, admission, acceptingVms: Math.max(1, acceptingVms) };
}
