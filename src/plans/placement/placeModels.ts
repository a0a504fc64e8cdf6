/** Plans which engines hold which layers of which models. */

import { createRandom } from '../../random/createRandom';
import { buildPipelines } from './buildPipelines';
import { annealPlacement } from './annealPlacement';
import type { LayerAssignment, Placement, PlacementProblem } from './placement';
import { isBetter, scoreModel, scorePlacement, type ModelScoreCache } from './scorePlacement';

export interface PlaceOptions {
  readonly seed: number;
  /** Placements to score in the search; 0 turns the search off. */
  readonly tries?: number;
  /** Share of the throughput that may be lost to keep engines unchanged. */
  readonly maxThroughputLoss?: number;
}

/** Largest number of engines for which the search is worthwhile. */
const MAX_SEARCHED_ENGINES = 12;

/** Placements scored in the search of a small problem. */
const SEARCH_TRIES = 120_000;

/** Initial placements of the search of a small problem. */
const SEARCH_STARTS = 48;

/** Default share of the throughput that may be lost to keep engines unchanged. */
const MAX_THROUGHPUT_LOSS = 0.03;

/**
 * Places models on engines: builds complete pipelines greedily and, for small problems, improves them by
 * simulated annealing. Engines keep the layers that they hold if this survives the loss of as many failure
 * domains and costs at most a small share of the throughput. Pure and deterministic for a seed. A run over
 * hundreds of engines takes too long for the thread that serves requests.
 *
 * @param problem engines, models and links
 * @param options seed, search effort and acceptable loss of throughput
 */
export function placeModels(problem: PlacementProblem, options: PlaceOptions): Placement {
  const isSmall = problem.engines.length <= MAX_SEARCHED_ENGINES;
  const {
    seed,
    tries = isSmall ? SEARCH_TRIES : 0,
    maxThroughputLoss = MAX_THROUGHPUT_LOSS,
  } = options;
  const built = buildPipelines(problem);
  const fresh = tries === 0 ? built : search(problem, built, seed, tries);
  const kept = placeOnEmptyEngines(problem);
  const freshScore = scorePlacement(problem, fresh);
  const keptScore = scorePlacement(problem, kept);
  const isKeptGoodEnough =
    keptScore.survivedLosses >= freshScore.survivedLosses &&
    keptScore.served >= freshScore.served * (1 - maxThroughputLoss);
  return isKeptGoodEnough && keptScore.movedBytes < freshScore.movedBytes ? kept : fresh;
}

function search(
  problem: PlacementProblem,
  built: Placement,
  seed: number,
  tries: number,
): Placement {
  const random = createRandom(seed);
  const scoreCache: ModelScoreCache = new Map();
  const starts = [built, ...Array.from({ length: SEARCH_STARTS - 1 }, (): Placement => new Map())];
  return starts
    .map((start) => annealPlacement(problem, start, random, tries / SEARCH_STARTS, scoreCache))
    .reduce((one, other) =>
      isBetter(scorePlacement(problem, other), scorePlacement(problem, one)) ? other : one,
    );
}

/** Keeps the layers that engines hold and places models only on empty engines. */
function placeOnEmptyEngines(problem: PlacementProblem): Placement {
  const models = new Set(problem.models.map(({ id }) => id));
  const start = new Map<string, LayerAssignment>(
    problem.engines.flatMap(({ id, held }) =>
      held !== undefined && models.has(held.model) ? [[id, held] as const] : [],
    ),
  );
  const throughputs = problem.models.map(
    (model) => [model.id, scoreModel(problem, model, start).served] as const,
  );
  return buildPipelines(problem, start, new Map(throughputs));
}
