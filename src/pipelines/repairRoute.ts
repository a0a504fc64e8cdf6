/** Replaces the failed stages of a route and keeps the others together with their KV cache. */

import type { BackendServerId } from '../backendServers/backendServer';
import type { Engine, LayerRange } from '../engines/engine';
import { findRoute } from './findRoute';
import type { Route, Stage } from './route';

/**
 * @param route the route of the last attempt
 * @param engines engines that may be used
 * @param loadOf returns the load of an engine; the replacement has the lowest total load
 * @returns a route that keeps the stages of engines in `engines`, or undefined if these do not hold
 *   every layer
 */
export function repairRoute(
  route: Route,
  engines: readonly Engine[],
  loadOf: (engine: BackendServerId) => number,
): Route | undefined {
  const usable = new Set<BackendServerId>(engines.map((engine) => engine.id));
  const stages: Stage[] = [];
  for (const segment of splitRoute(route, usable)) {
    if (segment.kept !== undefined) {
      stages.push(segment.kept);
      continue;
    }
    const replacement = findRoute(engines, segment.layers, loadOf);
    if (replacement === undefined) return undefined;
    stages.push(...replacement);
  }
  return stages;
}

interface Segment {
  readonly kept: Stage | undefined;
  readonly layers: LayerRange;
}

/** Splits a route into kept stages and gaps; neighbouring gaps are merged. */
function splitRoute(route: Route, usable: ReadonlySet<BackendServerId>): readonly Segment[] {
  const segments: Segment[] = [];
  for (const stage of route) {
    const last = segments.at(-1);
    if (usable.has(stage.engine)) segments.push({ kept: stage, layers: stage.layers });
    else if (last !== undefined && last.kept === undefined) {
      segments[segments.length - 1] = {
        kept: undefined,
        layers: { from: last.layers.from, to: stage.layers.to },
      };
    } else segments.push({ kept: undefined, layers: stage.layers });
  }
  return segments;
}
