/** Finds the best placement of a small problem by trying every one; a yardstick for the planner. */

import type {
  Placed,
  Placement,
  PlacementModel,
  PlacementProblem,
  PlacementScore,
} from './placement';
import { optionsOf } from './improvePlacement';
import { scoreModel } from './scorePlacement';

type Value = Pick<PlacementScore, 'survivals' | 'served'>;

const NOTHING: Value = { survivals: 0, served: 0 };

/**
 * Tries, for every set of engines, every way in which a model can use exactly these, and then every
 * way to share the engines among the models. Survivals come first, throughput second; movement is
 * left out. Takes time exponential in the engines.
 */
export function searchPlacement(problem: PlacementProblem): Value {
  const sets = 2 ** problem.engines.length;
  const empty = Array.from({ length: sets }, () => NOTHING);
  const totals = problem.models.reduce<readonly Value[]>(
    (before, model) => share(before, bestBySet(problem, model)),
    empty,
  );
  return totals[sets - 1] ?? NOTHING;
}

/** Best value of each set of engines once one more model takes some subset of it. */
function share(before: readonly Value[], alone: readonly Value[]): readonly Value[] {
  return before.map((_value, set) => {
    let best = NOTHING;
    for (let part = set; ; part = (part - 1) & set) {
      const one = alone[part] ?? NOTHING;
      const rest = before[set ^ part] ?? NOTHING;
      const sum = { survivals: one.survivals + rest.survivals, served: one.served + rest.served };
      if (isAbove(sum, best)) best = sum;
      if (part === 0) return best;
    }
  });
}

function bestBySet(problem: PlacementProblem, model: PlacementModel): readonly Value[] {
  const options = problem.engines.map((engine) =>
    optionsOf(problem, engine).filter((placed) => placed.model === model.id),
  );
  const best = Array.from({ length: 2 ** problem.engines.length }, () => NOTHING);
  const visit = (index: number, set: number, placement: Placement): void => {
    const engine = problem.engines[index];
    if (engine === undefined) {
      const value = scoreModel(problem, model, placement);
      if (isAbove(value, best[set] ?? NOTHING)) best[set] = value;
      return;
    }
    visit(index + 1, set, placement);
    for (const placed of options[index] ?? []) {
      const next = new Map<string, Placed>(placement).set(engine.id, placed);
      visit(index + 1, set | (1 << index), next);
    }
  };
  visit(0, 0, new Map());
  return best;
}

function isAbove(one: Value, other: Value): boolean {
  if (one.survivals !== other.survivals) return one.survivals > other.survivals;
  return one.served > other.served;
}
