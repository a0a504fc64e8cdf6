/** Ends a request: its final answer goes to the caller, and nothing more is kept of it. */

import type { WorkspaceId } from '../workspaces/workspace';
import type { Admission } from './admission';
import { releaseRoute } from './releaseRoute';
import type { RouterDecision, Router } from './router';
import type { RouterEffect } from './routerMessage';
import type { RunningRequest } from './runningRequest';

/**
 * @param router the router
 * @param running the request
 * @param effects what its end causes, the final answer included
 */
export function endRequest(
  router: Router,
  running: RunningRequest,
  effects: readonly RouterEffect[],
): RouterDecision {
  const requests = router.requests.delete(running.request.id);
  const released = releaseRoute(router, running);
  const admission = leaveWorkspace(router.admission, running.request.workspace);
  return { state: { ...released, admission, requests }, effects };
}

function leaveWorkspace(admission: Admission, workspace: WorkspaceId): Admission {
  const load = admission.workspaces.get(workspace);
  if (load === undefined) return admission;
  const left = { ...load, running: load.running - 1 };
  return { ...admission, workspaces: admission.workspaces.set(workspace, left) };
}
