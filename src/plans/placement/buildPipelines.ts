/** Builds a placement of complete pipelines, each inside one failure domain if possible. */

import type { FailureDomainId } from '../../failureDomains/failureDomain';
import { partitionLayers } from './partitionLayers';
import type {
  LayerAssignment,
  Placement,
  PlacementEngine,
  PlacementModel,
  PlacementProblem,
} from './placement';

/** Most engines in one pipeline. */
const MAX_STAGES = 16;

/** Number of pipeline lengths to try, starting from the shortest with enough memory. */
const PIPELINE_LENGTHS_TRIED = 3;

/** Most kinds of free engine of a failure domain from which candidate pipelines start. */
const MAX_CANDIDATE_STARTS = 12;

interface Pipeline {
  readonly engines: readonly PlacementEngine[];
  readonly assignments: readonly LayerAssignment[];
  readonly throughput: number;
  /** Useful work divided by the work of the engines it occupies, 0 to 1. */
  readonly efficiency: number;
}

/** A model with its throughput and failure domains so far. */
interface ModelProgress {
  readonly model: PlacementModel;
  throughput: number;
  readonly domains: Set<FailureDomainId>;
}

/**
 * Adds pipelines one by one. First, each model gets pipelines in two failure domains, so that it survives
 * the loss of either. After that, the model with the lowest throughput relative to its demand goes next.
 * Pipelines inside one failure domain cross no slow link; if no domain alone has enough memory, a pipeline
 * uses engines of all domains.
 *
 * @param problem the problem
 * @param start placement to extend; its engines are not changed
 * @param startThroughput throughput of `start` by model, tokens a second
 */
export function buildPipelines(
  problem: PlacementProblem,
  start: Placement = new Map(),
  startThroughput: ReadonlyMap<string, number> = new Map(),
): Placement {
  const placement = new Map(start);
  const free = new Map<FailureDomainId, PlacementEngine[]>();
  for (const engine of problem.engines) {
    if (placement.has(engine.id)) continue;
    const list = free.get(engine.failureDomain) ?? [];
    free.set(engine.failureDomain, [...list, engine]);
  }
  const progress = problem.models.map((model): ModelProgress => ({
    model,
    throughput: startThroughput.get(model.id) ?? 0,
    domains: findModelDomains(problem, start, model),
  }));
  const unfinished = new Set(progress);
  while (unfinished.size > 0) {
    const neediest = [...unfinished].reduce((one, other) => (isNeedier(other, one) ? other : one));
    const pipeline = choosePipeline(neediest, free);
    if (pipeline === undefined || neediest.throughput >= neediest.model.demand) {
      unfinished.delete(neediest);
      continue;
    }
    pipeline.engines.forEach((engine, index) => {
      const assignment = pipeline.assignments[index];
      if (assignment !== undefined) placement.set(engine.id, assignment);
      neediest.domains.add(engine.failureDomain);
      const list = free.get(engine.failureDomain) ?? [];
      free.set(
        engine.failureDomain,
        list.filter(({ id }) => id !== engine.id),
      );
    });
    neediest.throughput += pipeline.throughput;
  }
  return placement;
}

function findModelDomains(
  { engines }: PlacementProblem,
  start: Placement,
  model: PlacementModel,
): Set<FailureDomainId> {
  const holders = engines.filter(({ id }) => start.get(id)?.model === model.id);
  return new Set(holders.map(({ failureDomain }) => failureDomain));
}

function isNeedier(one: ModelProgress, other: ModelProgress): boolean {
  const spread = (progress: ModelProgress): number => Math.min(2, progress.domains.size);
  if (spread(one) !== spread(other)) return spread(one) < spread(other);
  return one.throughput / one.model.demand < other.throughput / other.model.demand;
}

/** Chooses the most efficient pipeline; a model's second pipeline avoids the domain of the first. */
function choosePipeline(
  { model, throughput, domains }: ModelProgress,
  free: ReadonlyMap<FailureDomainId, readonly PlacementEngine[]>,
): Pipeline | undefined {
  const unserved = model.demand - throughput;
  const otherDomains = [...free.keys()].filter(
    (domain) => domains.size !== 1 || !domains.has(domain),
  );
  const findInside = (domainIds: readonly FailureDomainId[]): Pipeline | undefined =>
    findMostEfficient(
      domainIds.flatMap((domain) => listCandidates(model, free.get(domain) ?? [], unserved)),
    );
  const found = findInside(otherDomains) ?? findInside([...free.keys()]);
  return found ?? findMostEfficient(listCandidates(model, [...free.values()].flat(), unserved));
}

function findMostEfficient(pipelines: readonly Pipeline[]): Pipeline | undefined {
  return pipelines.reduce<Pipeline | undefined>(
    (one, other) => (one === undefined || other.efficiency > one.efficiency ? other : one),
    undefined,
  );
}

/** Lists pipelines that start at each kind of free engine, alone or with the engines closest in speed. */
function listCandidates(
  model: PlacementModel,
  engines: readonly PlacementEngine[],
  unserved: number,
): readonly Pipeline[] {
  const sorted = [...engines].sort(
    (one, other) =>
      other.layerTokens - one.layerTokens ||
      scoreHeldModel(other, model) - scoreHeldModel(one, model),
  );
  const starts = sorted.flatMap((engine, index) => {
    const before = sorted[index - 1];
    return before === undefined || !isInterchangeable(before, engine) ? [index] : [];
  });
  return starts.slice(0, MAX_CANDIDATE_STARTS).flatMap((start) => {
    const following = sorted.slice(start, start + MAX_STAGES);
    const least = countNeededStages(model, following);
    const lengths = Array.from({ length: PIPELINE_LENGTHS_TRIED }, (_item, more) => least + more);
    return lengths.flatMap((length) =>
      length > following.length
        ? []
        : (createPipeline(model, following.slice(0, length), unserved) ?? []),
    );
  });
}

/** Counts the engines, in the order given, that together have memory for all layers. */
function countNeededStages(model: PlacementModel, engines: readonly PlacementEngine[]): number {
  let layerCapacity = 0;
  const last = engines.findIndex(({ memoryBytes }) => {
    layerCapacity += Math.floor(memoryBytes / model.bytesPerLayer);
    return layerCapacity >= model.layers;
  });
  return last < 0 ? engines.length + 1 : last + 1;
}

function scoreHeldModel(engine: PlacementEngine, model: PlacementModel): number {
  return engine.held?.model === model.id ? 1 : 0;
}

function isInterchangeable(one: PlacementEngine, other: PlacementEngine): boolean {
  return (
    one.layerTokens === other.layerTokens &&
    one.memoryBytes === other.memoryBytes &&
    one.held?.model === other.held?.model
  );
}

function createPipeline(
  model: PlacementModel,
  engines: readonly PlacementEngine[],
  unserved: number,
): Pipeline | undefined {
  const partition = partitionLayers(model, engines);
  if (partition === undefined) return undefined;
  const work = engines.reduce((sum, { layerTokens }) => sum + layerTokens, 0);
  const assignments = partition.ranges.map((layers): LayerAssignment => ({
    model: model.id,
    layers,
  }));
  const efficiency = (Math.min(partition.throughput, unserved) * model.layers) / work;
  return { engines, assignments, throughput: partition.throughput, efficiency };
}
