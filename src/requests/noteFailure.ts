/** Notes that engines failed, so that other requests keep off them until they serve again. */

import type { BackendServerId } from '../backendServers/backendServer';
import { avoidLostDomains } from './avoidLostDomains';
import { changeEngineUse } from './changeEngineUse';
import type { Router } from './router';

/** @returns the router with the failure noted on each of the engines */
export function noteFailure(
  router: Router,
  failed: readonly BackendServerId[],
  atMs: number,
): Router {
  const stages = failed.map((engine) => ({ engine, layers: { from: 0, to: 0 } }));
  const engines = changeEngineUse(router.engines, stages, (use) => ({
    ...use,
    failedAtMs: atMs,
    report: undefined,
  }));
  return avoidLostDomains({ ...router, engines, failedAtMs: atMs }, atMs);
}
