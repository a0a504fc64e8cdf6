/** Improves a placement by simulated annealing (Kirkpatrick, Gelatt and Vecchi, 1983). */

import type { Random } from '../../random/createRandom';
import { partitionLayers } from './partitionLayers';
import type {
  LayerAssignment,
  Placement,
  PlacementEngine,
  PlacementProblem,
  PlacementScore,
} from './placement';
import { isBetter, scorePlacement, type ModelScoreCache } from './scorePlacement';

/** Temperatures; 1 corresponds to one survived loss of a failure domain, or to the total demand. */
const INITIAL_TEMPERATURE = 0.3;
const FINAL_TEMPERATURE = 0.05;

/** A random move to a neighbouring placement, made in place. */
type Move = (
  problem: PlacementProblem,
  placement: Map<string, LayerAssignment>,
  random: Random,
) => void;

/** Moves to draw from; `assignOne` is drawn twice as often as the others. */
const MOVES: readonly Move[] = [assignPipeline, copyAssignment, assignOne, assignOne, clearOne];

/**
 * Makes random moves, accepts worse placements with a probability that falls with the temperature, and
 * returns the best placement scored. Suitable for small problems, since every try scores the placement.
 *
 * @param problem the problem
 * @param start initial placement
 * @param random draws the moves
 * @param tries number of placements to score
 * @param scoreCache scores already computed for the same problem; new ones are added
 */
export function annealPlacement(
  problem: PlacementProblem,
  start: Placement,
  random: Random,
  tries: number,
  scoreCache: ModelScoreCache = new Map(),
): Placement {
  const demand = problem.models.reduce((sum, model) => sum + model.demand, 0);
  const evaluate = ({ survivedLosses, served }: PlacementScore): number =>
    survivedLosses + served / demand;
  let current = start;
  let score = scorePlacement(problem, start, scoreCache);
  let best = { placement: start, score };
  for (let tried = 0; tried < tries; tried += 1) {
    const next = new Map(current);
    random.pick(MOVES)(problem, next, random);
    const nextScore = scorePlacement(problem, next, scoreCache);
    const temperature =
      INITIAL_TEMPERATURE * (FINAL_TEMPERATURE / INITIAL_TEMPERATURE) ** (tried / tries);
    if (random.next() >= Math.exp((evaluate(nextScore) - evaluate(score)) / temperature)) continue;
    current = next;
    score = nextScore;
    if (isBetter(score, best.score)) best = { placement: current, score };
  }
  return best.placement;
}

/** Assigns random engines, in random order, to a pipeline of one model. */
function assignPipeline(
  { engines, models }: PlacementProblem,
  placement: Map<string, LayerAssignment>,
  random: Random,
): void {
  const remaining = [...engines];
  const chosen = Array.from({ length: 1 + random.integer(engines.length) }, () =>
    remaining.splice(random.integer(remaining.length), 1),
  ).flat();
  const model = random.pick(models);
  const partition = partitionLayers(model, chosen);
  chosen.forEach(({ id }, index) => {
    const layers = partition?.ranges[index];
    if (layers !== undefined) placement.set(id, { model: model.id, layers });
  });
}

/** Copies the layers of one engine to another if they fit. */
function copyAssignment(
  { engines, models }: PlacementProblem,
  placement: Map<string, LayerAssignment>,
  random: Random,
): void {
  const assignment = placement.get(random.pick(engines).id);
  const engine = random.pick(engines);
  const model = models.find(({ id }) => id === assignment?.model);
  if (assignment === undefined || model === undefined) return;
  const bytes = (assignment.layers.to - assignment.layers.from) * model.bytesPerLayer;
  if (bytes <= engine.memoryBytes) placement.set(engine.id, assignment);
}

function assignOne(
  problem: PlacementProblem,
  placement: Map<string, LayerAssignment>,
  random: Random,
): void {
  const engine = random.pick(problem.engines);
  const options = listAssignments(problem, engine);
  if (options.length > 0) placement.set(engine.id, random.pick(options));
}

function clearOne(
  { engines }: PlacementProblem,
  placement: Map<string, LayerAssignment>,
  random: Random,
): void {
  placement.delete(random.pick(engines).id);
}

/** Lists every assignment that fits an engine's memory. */
export function listAssignments(
  problem: PlacementProblem,
  engine: PlacementEngine,
): readonly LayerAssignment[] {
  return problem.models.flatMap(({ id, layers, bytesPerLayer }) => {
    const maxLayers = Math.floor(engine.memoryBytes / bytesPerLayer);
    const assignments: LayerAssignment[] = [];
    for (let from = 0; from < layers; from += 1) {
      for (let to = from + 1; to <= Math.min(layers, from + maxLayers); to += 1) {
        assignments.push({ model: id, layers: { from, to } });
      }
    }
    return assignments;
  });
}
