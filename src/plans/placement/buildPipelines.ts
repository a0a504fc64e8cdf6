/** Builds a placement of whole pipelines, each inside one failure domain where that is possible. */

import type { FailureDomainId } from '../../failureDomains/failureDomain';
import { cutPipeline } from './cutPipeline';
import type {
  Placed,
  Placement,
  PlacementEngine,
  PlacementModel,
  PlacementProblem,
} from './placement';

/** Most engines in one pipeline. */
const MAX_STAGES = 16;

/** Lengths of a pipeline that are tried, from the shortest that has the memory. */
const MORE_STAGES = 3;

/** Free engines of a failure domain that one choice looks at. */
const MAX_CHOICES = 12;

interface Pipeline {
  readonly engines: readonly PlacementEngine[];
  readonly placed: readonly Placed[];
  readonly flow: number;
  /** Useful work over work bound, 0 to 1. */
  readonly efficiency: number;
}

interface Served {
  readonly model: PlacementModel;
  flow: number;
  readonly domains: Set<FailureDomainId>;
}

/**
 * Gives pipeline after pipeline to the model that is worst off: first each model gets one in two
 * failure domains, so that it outlives the loss of either, then the one with the least of its demand
 * served goes next. Pipelines inside one failure domain cross no slow link; where no domain alone
 * has the memory, engines of all domains are chained.
 *
 * @param problem the problem
 * @param start engines that are placed already
 * @param startFlow throughput that they make, by model
 */
export function buildPipelines(
  problem: PlacementProblem,
  start: Placement = new Map(),
  startFlow: ReadonlyMap<string, number> = new Map(),
): Placement {
  const placement = new Map(start);
  const free = new Map<FailureDomainId, PlacementEngine[]>();
  for (const engine of problem.engines) {
    if (placement.has(engine.id)) continue;
    const list = free.get(engine.failureDomain) ?? [];
    free.set(engine.failureDomain, [...list, engine]);
  }
  const served = problem.models.map((model): Served => ({
    model,
    flow: startFlow.get(model.id) ?? 0,
    domains: domainsOf(problem, start, model),
  }));
  const open = new Set(served);
  while (open.size > 0) {
    const neediest = [...open].reduce((one, other) => (isNeedier(other, one) ? other : one));
    const pipeline = choosePipeline(neediest, free);
    if (pipeline === undefined || neediest.flow >= neediest.model.demand) {
      open.delete(neediest);
      continue;
    }
    pipeline.engines.forEach((engine, index) => {
      const placed = pipeline.placed[index];
      if (placed !== undefined) placement.set(engine.id, placed);
      neediest.domains.add(engine.failureDomain);
      const list = free.get(engine.failureDomain) ?? [];
      free.set(
        engine.failureDomain,
        list.filter(({ id }) => id !== engine.id),
      );
    });
    neediest.flow += pipeline.flow;
  }
  return placement;
}

function domainsOf(
  { engines }: PlacementProblem,
  start: Placement,
  model: PlacementModel,
): Set<FailureDomainId> {
  const holders = engines.filter(({ id }) => start.get(id)?.model === model.id);
  return new Set(holders.map(({ failureDomain }) => failureDomain));
}

function isNeedier(one: Served, other: Served): boolean {
  const spread = (served: Served): number => Math.min(2, served.domains.size);
  if (spread(one) !== spread(other)) return spread(one) < spread(other);
  return one.flow / one.model.demand < other.flow / other.model.demand;
}

/** Picks the pipeline that wastes least; the second one of a model avoids the domain of the first. */
function choosePipeline(
  { model, flow, domains }: Served,
  free: ReadonlyMap<FailureDomainId, readonly PlacementEngine[]>,
): Pipeline | undefined {
  const wanted = model.demand - flow;
  const fresh = [...free.keys()].filter((domain) => domains.size !== 1 || !domains.has(domain));
  const inside = (names: readonly FailureDomainId[]): Pipeline | undefined =>
    best(names.flatMap((domain) => candidates(model, free.get(domain) ?? [], wanted)));
  const found = inside(fresh) ?? inside([...free.keys()]);
  return found ?? best(candidates(model, [...free.values()].flat(), wanted));
}

function best(pipelines: readonly Pipeline[]): Pipeline | undefined {
  return pipelines.reduce<Pipeline | undefined>(
    (one, other) => (one === undefined || other.efficiency > one.efficiency ? other : one),
    undefined,
  );
}

/** Pipelines that begin at each kind of free engine: it alone, or with the ones nearest in speed. */
function candidates(
  model: PlacementModel,
  engines: readonly PlacementEngine[],
  wanted: number,
): readonly Pipeline[] {
  const sorted = [...engines].sort(
    (one, other) => other.layerTokens - one.layerTokens || holds(other, model) - holds(one, model),
  );
  const starts = sorted.flatMap((engine, index) => {
    const before = sorted[index - 1];
    return before === undefined || !isAlike(before, engine) ? [index] : [];
  });
  return starts.slice(0, MAX_CHOICES).flatMap((start) => {
    const rest = sorted.slice(start, start + MAX_STAGES);
    const least = stagesNeeded(model, rest);
    const lengths = Array.from({ length: MORE_STAGES }, (_item, more) => least + more);
    return lengths.flatMap((length) =>
      length > rest.length ? [] : (makePipeline(model, rest.slice(0, length), wanted) ?? []),
    );
  });
}

/** Engines from the first on that have memory for all layers together. */
function stagesNeeded(model: PlacementModel, engines: readonly PlacementEngine[]): number {
  let room = 0;
  const last = engines.findIndex(({ memoryBytes }) => {
    room += Math.floor(memoryBytes / model.bytesPerLayer);
    return room >= model.layers;
  });
  return last < 0 ? engines.length + 1 : last + 1;
}

function holds(engine: PlacementEngine, model: PlacementModel): number {
  return engine.held?.model === model.id ? 1 : 0;
}

function isAlike(one: PlacementEngine, other: PlacementEngine): boolean {
  return (
    one.layerTokens === other.layerTokens &&
    one.memoryBytes === other.memoryBytes &&
    one.held?.model === other.held?.model
  );
}

function makePipeline(
  model: PlacementModel,
  engines: readonly PlacementEngine[],
  wanted: number,
): Pipeline | undefined {
  const cut = cutPipeline(model, engines);
  if (cut === undefined) return undefined;
  const work = engines.reduce((sum, { layerTokens }) => sum + layerTokens, 0);
  const placed = cut.ranges.map((layers): Placed => ({ model: model.id, layers }));
  const efficiency = (Math.min(cut.flow, wanted) * model.layers) / work;
  return { engines, placed, flow: cut.flow, efficiency };
}
