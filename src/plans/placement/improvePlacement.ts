/** Improves a placement by simulated annealing (Kirkpatrick, Gelatt and Vecchi, 1983). */

import type { Random } from '../../random/createRandom';
import { cutPipeline } from './cutPipeline';
import type {
  Placed,
  Placement,
  PlacementEngine,
  PlacementProblem,
  PlacementScore,
} from './placement';
import { isBetter, scorePlacement, type ModelScores } from './scorePlacement';

/** Temperatures at the start and at the end; 1 is worth one survival, or all of the demand. */
const HOT = 0.3;
const COLD = 0.05;

/** A change of a placement, made in place. */
type Change = (problem: PlacementProblem, placement: Map<string, Placed>, random: Random) => void;

/** The kinds of change; each try draws one. */
const CHANGES: readonly Change[] = [chainSome, copyRange, setOne, setOne, clearOne];

/**
 * Changes a placement again and again, at first also for the worse, and gives the best one met.
 * Meant for small problems: every try scores the placement.
 *
 * @param problem the problem
 * @param start where to begin
 * @param random draws the changes
 * @param tries placements that are scored
 * @param known scores met before in the same problem; filled on the way
 */
export function improvePlacement(
  problem: PlacementProblem,
  start: Placement,
  random: Random,
  tries: number,
  known: ModelScores = new Map(),
): Placement {
  const demand = problem.models.reduce((sum, model) => sum + model.demand, 0);
  const worth = ({ survivals, served }: PlacementScore): number => survivals + served / demand;
  let current = start;
  let score = scorePlacement(problem, start, known);
  let best = { placement: start, score };
  for (let made = 0; made < tries; made += 1) {
    const next = new Map(current);
    random.pick(CHANGES)(problem, next, random);
    const nextScore = scorePlacement(problem, next, known);
    const heat = HOT * (COLD / HOT) ** (made / tries);
    if (random.next() >= Math.exp((worth(nextScore) - worth(score)) / heat)) continue;
    current = next;
    score = nextScore;
    if (isBetter(score, best.score)) best = { placement: current, score };
  }
  return best.placement;
}

/** Chains some engines, in any order, into a pipeline of one model. */
function chainSome(
  { engines, models }: PlacementProblem,
  placement: Map<string, Placed>,
  random: Random,
): void {
  const left = [...engines];
  const chain = Array.from({ length: 1 + random.integer(engines.length) }, () =>
    left.splice(random.integer(left.length), 1),
  ).flat();
  const model = random.pick(models);
  const cut = cutPipeline(model, chain);
  chain.forEach(({ id }, index) => {
    const layers = cut?.ranges[index];
    if (layers !== undefined) placement.set(id, { model: model.id, layers });
  });
}

/** Lets one engine hold what another one holds, where it fits. */
function copyRange(
  { engines, models }: PlacementProblem,
  placement: Map<string, Placed>,
  random: Random,
): void {
  const placed = placement.get(random.pick(engines).id);
  const engine = random.pick(engines);
  const model = models.find(({ id }) => id === placed?.model);
  if (placed === undefined || model === undefined) return;
  const bytes = (placed.layers.to - placed.layers.from) * model.bytesPerLayer;
  if (bytes <= engine.memoryBytes) placement.set(engine.id, placed);
}

function setOne(problem: PlacementProblem, placement: Map<string, Placed>, random: Random): void {
  const engine = random.pick(problem.engines);
  const options = optionsOf(problem, engine);
  if (options.length > 0) placement.set(engine.id, random.pick(options));
}

function clearOne(
  { engines }: PlacementProblem,
  placement: Map<string, Placed>,
  random: Random,
): void {
  placement.delete(random.pick(engines).id);
}

/** Everything that an engine could hold. */
export function optionsOf(problem: PlacementProblem, engine: PlacementEngine): readonly Placed[] {
  return problem.models.flatMap(({ id, layers, bytesPerLayer }) => {
    const most = Math.floor(engine.memoryBytes / bytesPerLayer);
    const found: Placed[] = [];
    for (let from = 0; from < layers; from += 1) {
      for (let to = from + 1; to <= Math.min(layers, from + most); to += 1) {
        found.push({ model: id, layers: { from, to } });
      }
    }
    return found;
  });
}
