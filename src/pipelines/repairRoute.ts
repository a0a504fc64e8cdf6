/** Replaces the failed stages of a route and leaves the others, with their KV cache, in place. */

import type { BackendServerId } from '../backendServers/backendServer';
import type { Engine, LayerRange } from '../engines/engine';
import { findRoute } from './findRoute';
import type { Route, Stage } from './route';

/**
 * @param route the route of the last attempt
 * @param engines engines that may be used
 * @param loadOf load of an engine; the least loaded one takes a failed stage over
 * @returns a route whose stages are the old ones where their engine is among `engines`, or undefined
 *   where some layer is held by none of them
 */
export function repairRoute(
  route: Route,
  engines: readonly Engine[],
  loadOf: (engine: BackendServerId) => number,
): Route | undefined {
  const usable = new Set<BackendServerId>(engines.map((engine) => engine.id));
  const stages: Stage[] = [];
  for (const part of splitRoute(route, usable)) {
    if (part.kept !== undefined) {
      stages.push(part.kept);
      continue;
    }
    const replacement = findRoute(engines, part.layers, loadOf);
    if (replacement === undefined) return undefined;
    stages.push(...replacement);
  }
  return stages;
}

interface Part {
  readonly kept: Stage | undefined;
  readonly layers: LayerRange;
}

/** Cuts a route into kept stages and gaps; neighbouring gaps are joined. */
function splitRoute(route: Route, usable: ReadonlySet<BackendServerId>): readonly Part[] {
  const parts: Part[] = [];
  for (const stage of route) {
    const last = parts.at(-1);
    if (usable.has(stage.engine)) parts.push({ kept: stage, layers: stage.layers });
    else if (last !== undefined && last.kept === undefined) {
      parts[parts.length - 1] = {
        kept: undefined,
        layers: { from: last.layers.from, to: stage.layers.to },
      };
    } else parts.push({ kept: undefined, layers: stage.layers });
  }
  return parts;
}
