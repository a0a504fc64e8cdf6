/** Ends a request: its final answer goes to the caller, and nothing more is kept of it. */

import { leaveModel } from './leaveModel';
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
  const admission = leaveAdmission(router, running);
  return { state: { ...released, admission, requests }, effects };
}

function leaveAdmission({ admission, configuration }: Router, running: RunningRequest): Admission {
  const { workspace } = running.request;
  const { workspaces, models } = admission;
  const load = workspaces.get(workspace);
  const modelLoad = models.get(running.model);
  if (load === undefined || modelLoad === undefined) return admission;
  const share = configuration.workspace.get(workspace)?.share ?? 0;
  return {
    ...admission,
    workspaces: workspaces.set(workspace, { ...load, running: load.running - 1 }),
    models: models.set(running.model, leaveModel(modelLoad, workspace, share)),
  };
}
