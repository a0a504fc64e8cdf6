/** Seeded placement problems, small and large. */

import { createRandom, type Random } from '../../random/createRandom';
import type {
  Placed,
  Placement,
  PlacementEngine,
  PlacementLink,
  PlacementModel,
  PlacementProblem,
} from '../placement/placement';

/** Kinds of accelerator: work in a second of one of them, and its memory. */
const KINDS = [
  { layerTokens: 40_000, memoryBytes: 80e9 },
  { layerTokens: 24_000, memoryBytes: 48e9 },
  { layerTokens: 15_000, memoryBytes: 24e9 },
  { layerTokens: 6_000, memoryBytes: 16e9 },
];

/** Share of all work that the demand of all models asks for. */
const LOAD = 1;

/** Four engines or another few in three failure domains with slow links, two models of five layers. */
export function smallProblem(seed: number, count = 4): PlacementProblem {
  const random = createRandom(seed);
  const engines = Array.from({ length: count }, (_item, index): PlacementEngine => {
    const kind = random.pick(KINDS);
    return { id: `e${index}`, failureDomain: `d${random.integer(3)}`, ...kind };
  });
  const models = ['desk', 'seat'].map((id): PlacementModel => ({
    id,
    layers: 5,
    bytesPerLayer: 4e9 + random.next() * 14e9,
    activationBytes: 16_384,
    demand: 0,
  }));
  return withDemand(random, engines, models, linksOf(random, ['d0', 'd1', 'd2']));
}

/** 600 engines of 1 to 15 accelerators in nine failure domains, ten models of 32 to 950 GB. */
export function largeProblem(seed: number, count = 600): PlacementProblem {
  const random = createRandom(seed);
  const domains = Array.from({ length: 9 }, (_item, index) => `d${index}`);
  const engines = Array.from({ length: count }, (_item, index): PlacementEngine => {
    const kind = random.pick(KINDS);
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
  return withDemand(random, engines, models, linksOf(random, domains));
}

function linksOf(random: Random, domains: readonly string[]): readonly PlacementLink[] {
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
  const work = engines.reduce((sum, { layerTokens }) => sum + layerTokens, 0) * LOAD;
  const shares = models.map(() => 0.5 + random.next());
  const total = shares.reduce((sum, share) => sum + share, 0);
  const asked = models.map((model, index) => ({
    ...model,
    demand: (work * (shares[index] ?? 0)) / total / model.layers,
  }));
  return { engines, links, models: asked };
}

/** What one would do by hand: engines in turn to the models, layers in equal parts, four a chain. */
export function evenPlacement({ engines, models }: PlacementProblem): Placement {
  const placement = new Map<string, Placed>();
  models.forEach((model, turn) => {
    const mine = engines.filter((_engine, index) => index % models.length === turn);
    const stages = Math.min(4, mine.length);
    mine.forEach((engine, index) => {
      const stage = index % stages;
      const from = Math.floor((model.layers * stage) / stages);
      const to = Math.floor((model.layers * (stage + 1)) / stages);
      const fits = (to - from) * model.bytesPerLayer <= engine.memoryBytes;
      if (fits) placement.set(engine.id, { model: model.id, layers: { from, to } });
    });
  });
  return placement;
}
