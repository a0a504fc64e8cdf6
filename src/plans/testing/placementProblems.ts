/** Creates seeded placement problems, small and large. */

import { createRandom, type Random } from '../../random/createRandom';
import type {
  LayerAssignment,
  Placement,
  PlacementEngine,
  PlacementLink,
  PlacementModel,
  PlacementProblem,
} from '../placement/placement';

/** Kinds of accelerator: work of one accelerator in a second, and its memory. */
const ACCELERATOR_KINDS = [
  { layerTokens: 40_000, memoryBytes: 80e9 },
  { layerTokens: 24_000, memoryBytes: 48e9 },
  { layerTokens: 15_000, memoryBytes: 24e9 },
  { layerTokens: 6_000, memoryBytes: 16e9 },
];

/** Total demand of the models as a share of the work of all engines. */
const DEMAND_SHARE = 1;

/**
 * Creates a problem with a few engines, by default four, in three failure domains with slow links, and two
 * models of five layers.
 */
export function createSmallProblem(seed: number, count = 4): PlacementProblem {
  const random = createRandom(seed);
  const engines = Array.from({ length: count }, (_item, index): PlacementEngine => {
    const kind = random.pick(ACCELERATOR_KINDS);
    return { id: `e${index}`, failureDomain: `d${random.integer(3)}`, ...kind };
  });
  const models = ['desk', 'seat'].map((id): PlacementModel => ({
    id,
    layers: 5,
    bytesPerLayer: 4e9 + random.next() * 14e9,
    activationBytes: 16_384,
    demand: 0,
  }));
  return withDemand(random, engines, models, createLinks(random, ['d0', 'd1', 'd2']));
}

/**
 * Creates a problem with many engines, by default 600, of 1 to 15 accelerators in nine failure domains, and
 * ten models of 32 to 950 GB.
 */
export function createLargeProblem(seed: number, count = 600): PlacementProblem {
  const random = createRandom(seed);
  const domains = Array.from({ length: 9 }, (_item, index) => `d${index}`);
  const engines = Array.from({ length: count }, (_item, index): PlacementEngine => {
    const kind = random.pick(ACCELERATOR_KINDS);
    const accelerators = 1 + random.integer(15);
    const layerTokens = kind.layerTokens * accelerators;
    const memoryBytes = kind.memoryBytes * accelerators;
    return { id: `e${index}`, failureDomain: random.pick(domains), layerTokens, memoryBytes };
  });
  const models = Array.from({ length: 10 }, (_item, index): PlacementModel => ({
    id: `m${index}`,
    layers: 32 + random.integer(64),
    bytesPerLayer: 1e9 + random.next() * 9e9,
    activationBytes: 16_384,
    demand: 0,
  }));
  return withDemand(random, engines, models, createLinks(random, domains));
}

function createLinks(random: Random, domains: readonly string[]): readonly PlacementLink[] {
  return domains.flatMap((from) =>
    domains
      .filter((to) => to !== from)
      .map((to) => ({ from, to, bytesPerSecond: 10 ** (6 + 2 * random.next()) * 12.5 })),
  );
}

function withDemand(
  random: Random,
  engines: readonly PlacementEngine[],
  models: readonly PlacementModel[],
  links: readonly PlacementLink[],
): PlacementProblem {
  const work = engines.reduce((sum, { layerTokens }) => sum + layerTokens, 0) * DEMAND_SHARE;
  const shares = models.map(() => 0.5 + random.next());
  const total = shares.reduce((sum, share) => sum + share, 0);
  const modelsWithDemand = models.map((model, index) => ({
    ...model,
    demand: (work * (shares[index] ?? 0)) / total / model.layers,
  }));
  return { engines, links, models: modelsWithDemand };
}

/**
 * Creates the placement of a manual setup: assigns engines to the models in turn, in pipelines of four
 * stages with equal numbers of layers.
 */
export function createEvenPlacement({ engines, models }: PlacementProblem): Placement {
  const placement = new Map<string, LayerAssignment>();
  models.forEach((model, turn) => {
    const assigned = engines.filter((_engine, index) => index % models.length === turn);
    const stages = Math.min(4, assigned.length);
    assigned.forEach((engine, index) => {
      const stage = index % stages;
      const from = Math.floor((model.layers * stage) / stages);
      const to = Math.floor((model.layers * (stage + 1)) / stages);
      const fits = (to - from) * model.bytesPerLayer <= engine.memoryBytes;
      if (fits) placement.set(engine.id, { model: model.id, layers: { from, to } });
    });
  });
  return placement;
}
