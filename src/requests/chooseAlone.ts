/**
 * Chooses the route of a suspect: the same on every VM, by rendezvous hashing of its content over the
 * engines (Thaler and Ravishankar, IEEE/ACM ToN 6(1), 1998), away from other suspects.
 */

import { hash32 } from '../hashing/hash32';
import { findRoute } from '../pipelines/findRoute';
import type { Route } from '../pipelines/route';
import type { Router } from './router';
import type { RunningRequest } from './runningRequest';

/**
 * @param router the router
 * @param running the suspect
 * @returns the route, or undefined where other suspects or failures leave none
 */
export function chooseAlone(router: Router, running: RunningRequest): Route | undefined {
  const pipeline = router.pipelines.get(running.model);
  if (pipeline === undefined) return undefined;
  const taken = new Set(running.avoided);
  for (const other of router.requests.values()) {
    if (!other.isAlone || other.phase !== 'streaming') continue;
    for (const stage of other.route) taken.add(stage.engine);
  }
  const engines = pipeline.engines.filter((engine) => !taken.has(engine.id));
  const { fingerprint } = running.request;
  return findRoute(engines, { from: 0, to: running.layers }, (engine) =>
    hash32(engine, hash32(fingerprint)),
  );
}
