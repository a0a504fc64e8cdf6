/** Records engine failures, so that other requests avoid the engines until they serve again. */

import type { BackendServerId } from '../backendServers/backendServer';
import { updateFailedDomains } from './updateFailedDomains';
import { updateEngineLoads } from './updateEngineLoads';
import type { Router } from './router';

/** @returns the router with the failure recorded for each engine */
export function recordEngineFailures(
  router: Router,
  failed: readonly BackendServerId[],
  atMs: number,
): Router {
  const stages = failed.map((engine) => ({ engine, layers: { from: 0, to: 0 } }));
  const engineLoads = updateEngineLoads(router.engineLoads, stages, (load) => ({
    ...load,
    failedAtMs: atMs,
    report: undefined,
  }));
  return updateFailedDomains({ ...router, engineLoads, lastFailureAtMs: atMs }, atMs);
}
