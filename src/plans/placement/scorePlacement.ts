/** Scores a placement by survived losses of failure domains, throughput and weights to fetch. */

import { computeModelThroughput, type EngineStage } from './computeModelThroughput';
import type {
  Placement,
  PlacementEngine,
  PlacementModel,
  PlacementProblem,
  PlacementScore,
} from './placement';

/** Scores of models, by model and the layers of it on each engine. */
export type ModelScoreCache = Map<string, Pick<PlacementScore, 'survivedLosses' | 'served'>>;

/**
 * Scores a placement of all models.
 *
 * @param scoreCache scores already computed for the same problem; new ones are added
 */
export function scorePlacement(
  problem: PlacementProblem,
  placement: Placement,
  scoreCache?: ModelScoreCache,
): PlacementScore {
  const scores = problem.models.map((model) =>
    scoreModelCached(problem, model, placement, scoreCache),
  );
  return {
    survivedLosses: scores.reduce((sum, { survivedLosses }) => sum + survivedLosses, 0),
    served: scores.reduce((sum, { served }) => sum + served, 0),
    movedBytes: problem.engines.reduce(
      (sum, engine) => sum + countMovedBytes(problem, engine, placement),
      0,
    ),
  };
}

function scoreModelCached(
  problem: PlacementProblem,
  model: PlacementModel,
  placement: Placement,
  scoreCache: ModelScoreCache | undefined,
): Pick<PlacementScore, 'survivedLosses' | 'served'> {
  if (scoreCache === undefined) return scoreModel(problem, model, placement);
  const heldRanges = problem.engines.map(({ id }) => {
    const placed = placement.get(id);
    return placed?.model === model.id ? `${placed.layers.from}-${placed.layers.to}` : '';
  });
  const key = `${model.id}:${heldRanges.join()}`;
  const score = scoreCache.get(key) ?? scoreModel(problem, model, placement);
  scoreCache.set(key, score);
  return score;
}

/** Whether one score is better: by survived losses, then by throughput, then by least movement. */
export function isBetter(one: PlacementScore, other: PlacementScore): boolean {
  if (one.survivedLosses !== other.survivedLosses) return one.survivedLosses > other.survivedLosses;
  if (one.served !== other.served) return one.served > other.served;
  return one.movedBytes < other.movedBytes;
}

/** Computes the survived losses and the throughput of one model. */
export function scoreModel(
  { models, engines, links }: PlacementProblem,
  model: PlacementModel,
  placement: Placement,
): Pick<PlacementScore, 'survivedLosses' | 'served'> {
  const stages = engines.flatMap((engine): EngineStage[] => {
    const placed = placement.get(engine.id);
    if (placed?.model !== model.id) return [];
    const { failureDomain, layerTokens } = engine;
    return [{ failureDomain, layerTokens, layers: placed.layers }];
  });
  const computeThroughput = (remaining: readonly EngineStage[]): number =>
    computeModelThroughput(model, remaining, links, models.length);
  const domains = [...new Set(engines.map(({ failureDomain }) => failureDomain))];
  const survivedLosses = domains.filter((domain) => {
    const remaining = stages.filter(({ failureDomain }) => failureDomain !== domain);
    return remaining.length > 0 && computeThroughput(remaining) > 0;
  }).length;
  return { survivedLosses, served: Math.min(model.demand, computeThroughput(stages)) };
}

function countMovedBytes(
  { models }: PlacementProblem,
  engine: PlacementEngine,
  placement: Placement,
): number {
  const placed = placement.get(engine.id);
  const model = models.find(({ id }) => id === placed?.model);
  if (placed === undefined || model === undefined) return 0;
  const { held } = engine;
  const kept =
    held?.model === placed.model
      ? Math.min(held.layers.to, placed.layers.to) - Math.max(held.layers.from, placed.layers.from)
      : 0;
  return (placed.layers.to - placed.layers.from - Math.max(0, kept)) * model.bytesPerLayer;
}
