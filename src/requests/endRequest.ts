/** Ends a request: emits its final effects and removes its state. */

import { removeModelRequest } from './removeModelRequest';
import type { Admission } from './admission';
import { removeRouteLoad } from './removeRouteLoad';
import type { RouterDecision, Router } from './router';
import type { RouterEffect } from './routerMessage';
import type { RunningRequest } from './runningRequest';

/**
 * @param router the router
 * @param running the request to end
 * @param effects effects of its end, including the final answer
 */
export function endRequest(
  router: Router,
  running: RunningRequest,
  effects: readonly RouterEffect[],
): RouterDecision {
  const requests = router.requests.delete(running.request.id);
  const released = removeRouteLoad(router, running);
  const admission = releaseAdmission(router, running);
  return { state: { ...released, admission, requests }, effects };
}

function releaseAdmission(
  { admission, configuration }: Router,
  running: RunningRequest,
): Admission {
  const { workspace } = running.request;
  const { workspaces, models } = admission;
  const load = workspaces.get(workspace);
  const modelLoad = models.get(running.model);
  if (load === undefined || modelLoad === undefined) return admission;
  const share = configuration.workspace.get(workspace)?.share ?? 0;
  return {
    ...admission,
    workspaces: workspaces.set(workspace, { ...load, running: load.running - 1 }),
    models: models.set(running.model, removeModelRequest(modelLoad, workspace, share)),
  };
}
