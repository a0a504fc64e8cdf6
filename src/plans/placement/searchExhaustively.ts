/**
 * Finds the best score of a small placement problem by exhaustive search, as a reference for the planner.
 */

import type {
  LayerAssignment,
  Placement,
  PlacementModel,
  PlacementProblem,
  PlacementScore,
} from './placement';
import { listAssignments } from './annealPlacement';
import { scoreModel } from './scorePlacement';

type ServedScore = Pick<PlacementScore, 'survivedLosses' | 'served'>;

const EMPTY_SCORE: ServedScore = { survivedLosses: 0, served: 0 };

/**
 * Tries, for every set of engines, every way in which a model can use exactly these engines, and then
 * every way to divide the engines among the models. Survived losses count before throughput; moved bytes
 * are ignored. Takes time exponential in the number of engines.
 */
export function searchExhaustively(problem: PlacementProblem): ServedScore {
  const sets = 2 ** problem.engines.length;
  const empty = Array.from({ length: sets }, () => EMPTY_SCORE);
  const totals = problem.models.reduce<readonly ServedScore[]>(
    (accumulated, model) => addModel(accumulated, findBestBySet(problem, model)),
    empty,
  );
  return totals[sets - 1] ?? EMPTY_SCORE;
}

/** Returns the best score of each set of engines when one more model uses some subset of it. */
function addModel(
  accumulated: readonly ServedScore[],
  modelScores: readonly ServedScore[],
): readonly ServedScore[] {
  return accumulated.map((_value, set) => {
    let best = EMPTY_SCORE;
    for (let subset = set; ; subset = (subset - 1) & set) {
      const one = modelScores[subset] ?? EMPTY_SCORE;
      const remainder = accumulated[set ^ subset] ?? EMPTY_SCORE;
      const sum = {
        survivedLosses: one.survivedLosses + remainder.survivedLosses,
        served: one.served + remainder.served,
      };
      if (isBetterScore(sum, best)) best = sum;
      if (subset === 0) return best;
    }
  });
}

function findBestBySet(problem: PlacementProblem, model: PlacementModel): readonly ServedScore[] {
  const options = problem.engines.map((engine) =>
    listAssignments(problem, engine).filter((placed) => placed.model === model.id),
  );
  const best = Array.from({ length: 2 ** problem.engines.length }, () => EMPTY_SCORE);
  const visit = (index: number, set: number, placement: Placement): void => {
    const engine = problem.engines[index];
    if (engine === undefined) {
      const value = scoreModel(problem, model, placement);
      if (isBetterScore(value, best[set] ?? EMPTY_SCORE)) best[set] = value;
      return;
    }
    visit(index + 1, set, placement);
    for (const placed of options[index] ?? []) {
      const next = new Map<string, LayerAssignment>(placement).set(engine.id, placed);
      visit(index + 1, set | (1 << index), next);
    }
  };
  visit(0, 0, new Map());
  return best;
}

function isBetterScore(one: ServedScore, other: ServedScore): boolean {
  if (one.survivedLosses !== other.survivedLosses) return one.survivedLosses > other.survivedLosses;
  return one.served > other.served;
}
