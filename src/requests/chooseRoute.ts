/** Chooses the route of an attempt. */

import type { Route } from '../pipelines/route';
import { findRoute } from '../pipelines/findRoute';
import { repairRoute } from '../pipelines/repairRoute';
import type { Router } from './router';
import type { RunningRequest } from './runningRequest';

/**
 * @param router the router
 * @param running the request; engines that it avoids are left out
 * @returns the route, or undefined where the usable engines do not hold every layer
 */
export function chooseRoute(router: Router, running: RunningRequest): Route | undefined {
  const pipeline = router.pipelines.get(running.model);
  if (pipeline === undefined) return undefined;
  const engines = pipeline.engines.filter((engine) => !running.avoided.includes(engine.id));
  if (running.route.length > 0) return repairRoute(running.route, engines);
  const planned = pipeline.routes.find(({ route }) =>
    route.every((stage) => !running.avoided.includes(stage.engine)),
  );
  return planned?.route ?? findRoute(engines, running.layers);
}
