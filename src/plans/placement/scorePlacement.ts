/** Judges a placement. */

import { modelFlow, type Part } from './modelFlow';
import type {
  Placement,
  PlacementEngine,
  PlacementModel,
  PlacementProblem,
  PlacementScore,
} from './placement';

/** Scores met before, by the model and what each engine holds of it. */
export type ModelScores = Map<string, Pick<PlacementScore, 'survivals' | 'served'>>;

/**
 * Scores a placement as a whole.
 *
 * @param known scores met before in the same problem; filled on the way
 */
export function scorePlacement(
  problem: PlacementProblem,
  placement: Placement,
  known?: ModelScores,
): PlacementScore {
  const scores = problem.models.map((model) => scoreKnown(problem, model, placement, known));
  return {
    survivals: scores.reduce((sum, { survivals }) => sum + survivals, 0),
    served: scores.reduce((sum, { served }) => sum + served, 0),
    movedBytes: problem.engines.reduce((sum, engine) => sum + moved(problem, engine, placement), 0),
  };
}

function scoreKnown(
  problem: PlacementProblem,
  model: PlacementModel,
  placement: Placement,
  known: ModelScores | undefined,
): Pick<PlacementScore, 'survivals' | 'served'> {
  if (known === undefined) return scoreModel(problem, model, placement);
  const holds = problem.engines.map(({ id }) => {
    const placed = placement.get(id);
    return placed?.model === model.id ? `${placed.layers.from}-${placed.layers.to}` : '';
  });
  const key = `${model.id}:${holds.join()}`;
  const found = known.get(key) ?? scoreModel(problem, model, placement);
  known.set(key, found);
  return found;
}

/** Whether one score is better: survivals first, then throughput, then less movement. */
export function isBetter(one: PlacementScore, other: PlacementScore): boolean {
  if (one.survivals !== other.survivals) return one.survivals > other.survivals;
  if (one.served !== other.served) return one.served > other.served;
  return one.movedBytes < other.movedBytes;
}

/** Survivals and throughput of one model. */
export function scoreModel(
  { models, engines, links }: PlacementProblem,
  model: PlacementModel,
  placement: Placement,
): Pick<PlacementScore, 'survivals' | 'served'> {
  const parts = engines.flatMap((engine): Part[] => {
    const placed = placement.get(engine.id);
    if (placed?.model !== model.id) return [];
    const { failureDomain, layerTokens } = engine;
    return [{ failureDomain, layerTokens, layers: placed.layers }];
  });
  const flow = (rest: readonly Part[]): number => modelFlow(model, rest, links, models.length);
  const domains = [...new Set(engines.map(({ failureDomain }) => failureDomain))];
  const survivals = domains.filter((domain) => {
    const rest = parts.filter(({ failureDomain }) => failureDomain !== domain);
    return rest.length > 0 && flow(rest) > 0;
  }).length;
  return { survivals, served: Math.min(model.demand, flow(parts)) };
}

function moved(
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
