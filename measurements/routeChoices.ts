/** Plain ways to choose a route, as baselines. */

import type { Engine } from '../src/engines/engine';
import { hash32 } from '../src/hashing/hash32';
import type { Route, Stage } from '../src/pipelines/route';
import type { RouteChooser, Router } from '../src/requests/router';

/** Picks one of several engines that hold the next layer. */
type Pick = (holders: readonly Engine[], router: Router, layer: number, request: string) => Engine;

/** @returns choices by name; each call starts them afresh */
export function createRouteChoices(): Readonly<Record<string, RouteChooser>> {
  const turns = new Map<number, number>();
  const first = (holders: readonly Engine[], index: number): Engine => {
    const engine = holders[index % holders.length];
    if (engine === undefined) throw new RangeError('No engine holds the layer');
    return engine;
  };
  const random: Pick = (holders, _router, layer, request) =>
    first(holders, hash32(`${request}/${layer}`));
  const roundRobin: Pick = (holders, _router, layer) => {
    const turn = turns.get(layer) ?? 0;
    turns.set(layer, turn + 1);
    return first(holders, turn);
  };
  const leastLoaded: Pick = (holders, router) =>
    holders.reduce((a, b) => (load(router, b) < load(router, a) ? b : a));
  return {
    random: walk(random),
    'round robin': walk(roundRobin),
    'least loaded': walk(leastLoaded),
  };
}

/** Own streams and, from the last report, those of all. */
function load(router: Router, engine: Engine): number {
  const use = router.engineLoads.get(engine.id);
  return Math.max(use?.running ?? 0, use?.report?.running ?? 0);
}

/** Goes from layer to layer, always to an engine that holds the next one. */
function walk(pick: Pick): RouteChooser {
  return (router, running): Route | undefined => {
    const stages: Stage[] = [];
    const engines = router.pipelines.get(running.model)?.engines ?? [];
    for (let from = 0; from < running.layers;) {
      const holders = engines.filter(
        ({ id, layers }) =>
          layers.from <= from && layers.to > from && !running.avoided.includes(id),
      );
      if (holders.length === 0) return undefined;
      const engine = pick(holders, router, from, running.request.id);
      stages.push({ engine: engine.id, layers: { from, to: engine.layers.to } });
      from = engine.layers.to;
    }
    return stages;
  };
}
