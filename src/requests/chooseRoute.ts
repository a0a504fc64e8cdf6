/**
 * Chooses the route of an attempt. For a new request it draws two paths, weighted by their planned
 * rates, and uses the less loaded one (the power of two choices: Mitzenmacher, IEEE TPDS 12(10), 2001);
 * it does the same for the engine of each stage. The draws hash the request's content, so the same
 * content reaches the same few engines on every VM. This increases prefix cache hits and limits the
 * number of engines that a harmful content can crash.
 */

import type { BackendServerId } from '../backendServers/backendServer';
import type { Engine } from '../engines/engine';
import type { FailureDomainId } from '../failureDomains/failureDomain';
import { hash32 } from '../hashing/hash32';
import { computeLinkPenalty } from '../links/computeLinkPenalty';
import { findRoute } from '../pipelines/findRoute';
import type { Pipeline, PlannedPath, PlannedStage } from '../pipelines/pipeline';
import { repairRoute } from '../pipelines/repairRoute';
import type { Route, Stage } from '../pipelines/route';
import { FAILURE_LOAD_FACTOR } from './constants';
import { computeRelativeLoad } from './computeRelativeLoad';
import type { Router } from './router';
import type { RunningRequest } from './runningRequest';

/** Number of values of a 32-bit hash. */
const HASH_COUNT = 0x1_0000_0000;

/** Indices of the draws of each choice. */
const DRAWS = [0, 1] as const;

interface Candidate {
  readonly route: Route;
  readonly load: number;
}

/**
 * @param router the router
 * @param running the request; engines that it avoids are excluded
 * @param atMs the current time
 * @returns the route, or undefined if the usable engines do not hold every layer
 */
export function chooseRoute(
  router: Router,
  running: RunningRequest,
  atMs: number,
): Route | undefined {
  const pipeline = router.pipelines.get(running.model);
  if (pipeline === undefined) return undefined;
  const failedDomains = router.failedDomains;
  const isInFailedDomain = (engine: BackendServerId): boolean =>
    failedDomains.size > 0 && failedDomains.has(getDomain(router, engine));
  const load = (engine: BackendServerId): number =>
    computeRelativeLoad(router, pipeline, engine, atMs) *
    (isInFailedDomain(engine) ? FAILURE_LOAD_FACTOR : 1);
  if (running.avoided.length === 0 && running.route.length === 0) {
    const planned = choosePlannedRoute(pipeline, running.request.fingerprint, load);
    if (planned !== undefined) return planned;
  }
  const allowed = pipeline.engines.filter((engine) => !running.avoided.includes(engine.id));
  const available = allowed.filter((engine) => !isInFailedDomain(engine.id));
  const choose = (engines: readonly Engine[]): Route | undefined =>
    chooseRepairedRoute(router, running, engines, load);
  return choose(available) ?? (failedDomains.size > 0 ? choose(allowed) : undefined);
}

/** Keeps the allowed stages of the last route and replaces the others, or finds a first route. */
function chooseRepairedRoute(
  router: Router,
  running: RunningRequest,
  engines: readonly Engine[],
  load: (engine: BackendServerId) => number,
): Route | undefined {
  if (running.route.length === 0) return findRoute(engines, { from: 0, to: running.layers }, load);
  const linkWeight = createLinkWeight(router, running);
  return repairRoute(running.route, engines, (engine) => load(engine) * linkWeight(engine));
}

function getDomain({ configuration }: Router, engine: BackendServerId): FailureDomainId {
  return configuration.backendServer.get(engine)?.failureDomain ?? '';
}

/** Creates a weight function of engines by their slowest link to and from the kept stages. */
function createLinkWeight(
  router: Router,
  running: RunningRequest,
): (engine: BackendServerId) => number {
  const kept = running.route.filter((stage) => !running.avoided.includes(stage.engine));
  const domains = [...new Set(kept.map((stage) => getDomain(router, stage.engine)))];
  const { link } = router.configuration;
  return (engine) => {
    const own = getDomain(router, engine);
    const penalties = domains.flatMap((other) => [
      computeLinkPenalty(link, other, own),
      computeLinkPenalty(link, own, other),
    ]);
    return Math.max(1, ...penalties);
  };
}

function choosePlannedRoute(
  pipeline: Pipeline,
  fingerprint: string,
  load: (engine: BackendServerId) => number,
): Route | undefined {
  let best: Candidate | undefined;
  for (const draw of DRAWS) {
    const path = drawPath(pipeline, hash32(fingerprint, draw));
    if (path === undefined) return undefined;
    const candidate = assignEngines(path, fingerprint, draw, load);
    if (best === undefined || candidate.load < best.load) best = candidate;
  }
  return best?.route;
}

/** Draws a path with a probability in proportion to its planned rate. */
function drawPath(pipeline: Pipeline, hash: number): PlannedPath | undefined {
  return pipeline.paths[drawIndex(pipeline.cumulativeRates, hash)];
}

/** Draws an index by binary search: the first cumulative sum above the hash's fraction of the total. */
function drawIndex(sums: readonly number[], hash: number): number {
  const threshold = (hash / HASH_COUNT) * (sums.at(-1) ?? 0);
  let low = 0;
  let high = sums.length - 1;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((sums[middle] ?? Infinity) > threshold) high = middle;
    else low = middle + 1;
  }
  return low;
}

function assignEngines(
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
