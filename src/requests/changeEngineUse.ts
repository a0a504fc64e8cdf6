/** Changes what is kept of the engines on a route. */

import type { Map } from 'immutable';
import type { BackendServerId } from '../backendServers/backendServer';
import type { EngineUse } from './engineUse';
import type { Route } from '../pipelines/route';

const UNUSED: EngineUse = {
  running: 0,
  prefillTokens: 0,
  servedAtMs: 0,
  failedAtMs: -Infinity,
  report: undefined,
};

/**
 * @param uses all engines
 * @param route whose engines change
 * @param change gives the new use of one engine
 */
export function changeEngineUse(
  uses: Map<BackendServerId, EngineUse>,
  route: Route,
  change: (use: EngineUse) => EngineUse,
): Map<BackendServerId, EngineUse> {
  let next = uses;
  for (const { engine } of route) {
    const use = next.get(engine) ?? UNUSED;
    const changed = change(use);
    if (changed !== use) next = next.set(engine, changed);
  }
  return next;
}
