/** Updates the loads of the engines on a route. */

import type { Map } from 'immutable';
import type { BackendServerId } from '../backendServers/backendServer';
import type { EngineLoad } from './engineLoad';
import type { Route } from '../pipelines/route';

const NO_LOAD: EngineLoad = {
  running: 0,
  prefillTokens: 0,
  servedAtMs: 0,
  failedAtMs: -Infinity,
  report: undefined,
};

/**
 * @param loads loads of all engines
 * @param route the route whose engines are updated
 * @param update returns the new load of one engine
 */
export function updateEngineLoads(
  loads: Map<BackendServerId, EngineLoad>,
  route: Route,
  update: (load: EngineLoad) => EngineLoad,
): Map<BackendServerId, EngineLoad> {
  let next = loads;
  for (const { engine } of route) {
    const load = next.get(engine) ?? NO_LOAD;
    const updated = update(load);
    if (updated !== load) next = next.set(engine, updated);
  }
  return next;
}
