/**
 * Chooses the route of an attempt. A new request draws two paths by their planned rates and takes
 * the less loaded (the power of two choices: Mitzenmacher, IEEE TPDS 12(10), 2001), and does the same
 * for the engine of each stage. The draws come from the request's content, so that the same content
 * meets the same few engines on every VM: their prefix caches help it, and if it crashes them, it
 * crashes few.
 */

import type { BackendServerId } from '../backendServers/backendServer';
import type { Engine } from '../engines/engine';
import type { FailureDomainId } from '../failureDomains/failureDomain';
import { hash32 } from '../hashing/hash32';
import { linkFactor } from '../links/linkFactor';
import { findRoute } from '../pipelines/findRoute';
import type { Pipeline, PlannedPath, PlannedStage } from '../pipelines/pipeline';
import { repairRoute } from '../pipelines/repairRoute';
import type { Route, Stage } from '../pipelines/route';
import { FAILED_FACTOR } from './constants';
import { loadOf } from './loadOf';
import type { Router } from './router';
import type { RunningRequest } from './runningRequest';

/** Values of a 32-bit hash. */
const HASHES = 0x1_0000_0000;

/** Draws for each choice. */
const DRAWS = [0, 1] as const;

interface Candidate {
  readonly route: Route;
  readonly load: number;
}

/**
 * @param router the router
 * @param running the request; engines that it avoids are left out
 * @param atMs now
 * @returns the route, or undefined where the usable engines do not hold every layer
 */
export function chooseRoute(
  router: Router,
  running: RunningRequest,
  atMs: number,
): Route | undefined {
  const pipeline = router.pipelines.get(running.model);
  if (pipeline === undefined) return undefined;
  const lost = router.lostDomains;
  const isLost = (engine: BackendServerId): boolean =>
    lost.size > 0 && lost.has(domainOf(router, engine));
  const load = (engine: BackendServerId): number =>
    loadOf(router, pipeline, engine, atMs) * (isLost(engine) ? FAILED_FACTOR : 1);
  if (running.avoided.length === 0 && running.route.length === 0) {
    const planned = choosePlanned(pipeline, running.request.fingerprint, load);
    if (planned !== undefined) return planned;
  }
  const allowed = pipeline.engines.filter((engine) => !running.avoided.includes(engine.id));
  const standing = allowed.filter((engine) => !isLost(engine.id));
  const choose = (engines: readonly Engine[]): Route | undefined =>
    chooseRepaired(router, running, engines, load);
  return choose(standing) ?? (lost.size > 0 ? choose(allowed) : undefined);
}

/** Keeps the stages of the last route that may stay, or finds a whole route anew. */
function chooseRepaired(
  router: Router,
  running: RunningRequest,
  engines: readonly Engine[],
  load: (engine: BackendServerId) => number,
): Route | undefined {
  if (running.route.length === 0) return findRoute(engines, { from: 0, to: running.layers }, load);
  const factor = createNearness(router, running);
  return repairRoute(running.route, engines, (engine) => load(engine) * factor(engine));
}

function domainOf({ configuration }: Router, engine: BackendServerId): FailureDomainId {
  return configuration.backendServer.get(engine)?.failureDomain ?? '';
}

/** Weighs an engine by the slowest link to and from the stages that stay in the route. */
function createNearness(
  router: Router,
  running: RunningRequest,
): (engine: BackendServerId) => number {
  const kept = running.route.filter((stage) => !running.avoided.includes(stage.engine));
  const domains = [...new Set(kept.map((stage) => domainOf(router, stage.engine)))];
  const { link } = router.configuration;
  return (engine) => {
    const own = domainOf(router, engine);
    const factors = domains.flatMap((other) => [
      linkFactor(link, other, own),
      linkFactor(link, own, other),
    ]);
    return Math.max(1, ...factors);
  };
}

function choosePlanned(
  pipeline: Pipeline,
  fingerprint: string,
  load: (engine: BackendServerId) => number,
): Route | undefined {
  let best: Candidate | undefined;
  for (const draw of DRAWS) {
    const path = drawPath(pipeline, hash32(fingerprint, draw));
    if (path === undefined) return undefined;
    const candidate = fillPath(path, fingerprint, draw, load);
    if (best === undefined || candidate.load < best.load) best = candidate;
  }
  return best?.route;
}

/** The path into whose part of the total rate the hash falls. */
function drawPath(pipeline: Pipeline, hash: number): PlannedPath | undefined {
  return pipeline.paths[drawIndex(pipeline.cumulativeRates, hash)];
}

/** Draws an index by running sums: the first whose sum is above the hash's part of the last. */
function drawIndex(sums: readonly number[], hash: number): number {
  const wanted = (hash / HASHES) * (sums.at(-1) ?? 0);
  let low = 0;
  let high = sums.length - 1;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((sums[middle] ?? Infinity) > wanted) high = middle;
    else low = middle + 1;
  }
  return low;
}

function fillPath(
  path: PlannedPath,
  fingerprint: string,
  draw: number,
  load: (engine: BackendServerId) => number,
): Candidate {
  let worst = 0;
  const route = path.stages.map((stage, index): Stage => {
    const engine = pickEngine(stage, hash32(fingerprint, 2 + draw + 2 * index), load);
    worst = Math.max(worst, load(engine));
    return { engine, layers: stage.layers };
  });
  return { route, load: worst };
}

function pickEngine(
  { engines, cumulativeShares }: PlannedStage,
  hash: number,
  load: (engine: BackendServerId) => number,
): BackendServerId {
  const index = drawIndex(cumulativeShares, hash);
  const first = engines[index] ?? '';
  if (engines.length === 1) return first;
  const drawn = drawIndex(cumulativeShares, hash32(first, hash));
  const other = drawn === index ? (index + 1) % engines.length : drawn;
  const second = engines[other] ?? first;
  return load(second) < load(first) ? second : first;
}
