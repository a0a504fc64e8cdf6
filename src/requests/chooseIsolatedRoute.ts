/**
 * Chooses the route of a suspect by rendezvous hashing of its content over the configured engines
 * (Thaler and Ravishankar, IEEE/ACM ToN 6(1), 1998). The choice ignores engine health and is therefore
 * the same on every VM: no VM moves the suspect to a third server when the designated one has crashed.
 */

import { hash32 } from '../hashing/hash32';
import { findRoute } from '../pipelines/findRoute';
import type { Route } from '../pipelines/route';
import type { Router } from './router';
import type { RunningRequest } from './runningRequest';

/**
 * @param router the router
 * @param running the suspect
 * @returns the route, or undefined while one of its engines is unusable or runs another suspect
 */
export function chooseIsolatedRoute(router: Router, running: RunningRequest): Route | undefined {
  const { fingerprint } = running.request;
  const crashed = router.crashHistory.records.get(fingerprint)?.servers ?? [];
  const engines = [...router.configuration.engine.values()].filter(
    ({ id, model, role }) =>
      model === running.model && role !== 'idle' && role !== 'prefill' && !crashed.includes(id),
  );
  const route = findRoute(engines, { from: 0, to: running.layers }, (engine) =>
    hash32(engine, hash32(fingerprint)),
  );
  return route !== undefined && isFree(router, running, route) ? route : undefined;
}

function isFree(router: Router, running: RunningRequest, route: Route): boolean {
  const usable = router.pipelines.get(running.model)?.engines ?? [];
  const occupied = new Set<string>();
  for (const other of router.requests.values()) {
    if (!other.isIsolated || other.phase !== 'streaming') continue;
    for (const stage of other.route) occupied.add(stage.engine);
  }
  return route.every(
    ({ engine }) => !occupied.has(engine) && usable.some((item) => item.id === engine),
  );
}
