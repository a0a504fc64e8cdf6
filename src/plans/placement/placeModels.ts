/** The placement planner. */

import { createRandom } from '../../random/createRandom';
import { buildPipelines } from './buildPipelines';
import { improvePlacement } from './improvePlacement';
import type { Placed, Placement, PlacementProblem } from './placement';
import { isBetter, scoreModel, scorePlacement, type ModelScores } from './scorePlacement';

export interface PlaceOptions {
  readonly seed: number;
  /** Placements scored while improving; 0 only builds. */
  readonly tries?: number;
  /** Share of the throughput that may be given up to leave engines as they are. */
  readonly movementShare?: number;
}

/** Engines up to which improving pays. */
const SMALL_ENGINES = 12;

/** Placements scored on a small problem. */
const SMALL_TRIES = 120_000;

/** Starts of the search on a small problem. */
const STARTS = 48;

/** Share of the throughput that least movement may cost. */
const MOVEMENT_SHARE = 0.03;

/**
 * Places models on engines: whole pipelines built greedily, on small problems improved by search.
 * What is loaded already stays where that keeps every survival and costs at most a small share of
 * the throughput. Pure and seeded; a run over hundreds of engines takes long enough that it belongs
 * off the thread that serves requests.
 *
 * @param problem engines, models and links
 * @param options seed and effort
 */
export function placeModels(problem: PlacementProblem, options: PlaceOptions): Placement {
  const isSmall = problem.engines.length <= SMALL_ENGINES;
  const { seed, tries = isSmall ? SMALL_TRIES : 0, movementShare = MOVEMENT_SHARE } = options;
  const built = buildPipelines(problem);
  const fresh = tries === 0 ? built : search(problem, built, seed, tries);
  const kept = keepHeld(problem);
  const freshScore = scorePlacement(problem, fresh);
  const keptScore = scorePlacement(problem, kept);
  const isGood =
    keptScore.survivals >= freshScore.survivals &&
    keptScore.served >= freshScore.served * (1 - movementShare);
  return isGood && keptScore.movedBytes < freshScore.movedBytes ? kept : fresh;
}

function search(
  problem: PlacementProblem,
  built: Placement,
  seed: number,
  tries: number,
): Placement {
  const random = createRandom(seed);
  const known: ModelScores = new Map();
  const starts = [built, ...Array.from({ length: STARTS - 1 }, (): Placement => new Map())];
  return starts
    .map((start) => improvePlacement(problem, start, random, tries / STARTS, known))
    .reduce((one, other) =>
      isBetter(scorePlacement(problem, other), scorePlacement(problem, one)) ? other : one,
    );
}

/** Leaves engines as they are and places only the ones that hold nothing. */
function keepHeld(problem: PlacementProblem): Placement {
  const models = new Set(problem.models.map(({ id }) => id));
  const start = new Map<string, Placed>(
    problem.engines.flatMap(({ id, held }) =>
      held !== undefined && models.has(held.model) ? [[id, held] as const] : [],
    ),
  );
  const flows = problem.models.map(
    (model) => [model.id, scoreModel(problem, model, start).served] as const,
  );
  return buildPipelines(problem, start, new Map(flows));
}
