import { createLargeProblem, createSmallProblem } from '../testing/placementProblems';
import { computeServedUpperBound } from './computeServedUpperBound';
import { placeModels } from './placeModels';
import type { PlacementEngine, PlacementProblem } from './placement';
import { scorePlacement } from './scorePlacement';
import { searchExhaustively } from './searchExhaustively';

const model = { id: 'desk', layers: 8, bytesPerLayer: 1e9, activationBytes: 1000, demand: 1000 };
const engine = (id: string, failureDomain: string, fields: Partial<PlacementEngine> = {}) => ({
  id,
  failureDomain,
  layerTokens: 8000,
  memoryBytes: 8e9,
  ...fields,
});

describe('placeModels', () => {
  it.each([1, 2, 3, 4, 5])(
    'serves at least 0.97 of the optimum of exhaustive search, seed %i',
    (seed) => {
      const problem = createSmallProblem(seed, 3);
      const optimum = searchExhaustively(problem);
      const achieved = scorePlacement(problem, placeModels(problem, { seed, tries: 8000 }));
      expect(achieved.survivedLosses).toBe(optimum.survivedLosses);
      expect(achieved.served).toBeGreaterThanOrEqual(0.97 * optimum.served);
      expect(achieved.served).toBeLessThanOrEqual(optimum.served * (1 + 1e-9));
    },
  );

  it('stays within memory and below the bound on a larger site', () => {
    const problem = createLargeProblem(1, 60);
    const placement = placeModels(problem, { seed: 1 });
    for (const { id, memoryBytes } of problem.engines) {
      const placed = placement.get(id);
      if (placed === undefined) continue;
      const bytes = problem.models.find((item) => item.id === placed.model)?.bytesPerLayer ?? 0;
      expect((placed.layers.to - placed.layers.from) * bytes).toBeLessThanOrEqual(memoryBytes);
    }
    const { served } = scorePlacement(problem, placement);
    expect(served).toBeLessThanOrEqual(computeServedUpperBound(problem) * (1 + 1e-9));
  });

  it('places the model in two failure domains if possible', () => {
    const engines = [engine('a1', 'a'), engine('a2', 'a'), engine('b1', 'b')];
    const problem: PlacementProblem = { engines, links: [], models: [model] };
    const { survivedLosses } = scorePlacement(problem, placeModels(problem, { seed: 1 }));
    expect(survivedLosses).toBe(2);
  });

  it('avoids a slow link inside a pipeline', () => {
    const half = { memoryBytes: 4e9 };
    const engines = ['a', 'b'].flatMap((at) => [
      engine(`${at}1`, at, half),
      engine(`${at}2`, at, half),
    ]);
    const links = [
      { from: 'a', to: 'b', bytesPerSecond: 1000 },
      { from: 'b', to: 'a', bytesPerSecond: 1000 },
    ];
    const wide = { ...model, demand: 4000 };
    const problem: PlacementProblem = { engines, links, models: [wide] };
    expect(scorePlacement(problem, placeModels(problem, { seed: 1 })).served).toBe(4000);
  });

  it('keeps loaded engines unchanged when that costs little throughput', () => {
    const held = { model: 'desk', layers: { from: 0, to: 8 } };
    const engines = [engine('a1', 'a', { held }), engine('b1', 'b', { held }), engine('b2', 'b')];
    const problem: PlacementProblem = { engines, links: [], models: [model] };
    const placement = placeModels(problem, { seed: 1 });
    expect(scorePlacement(problem, placement).movedBytes).toBe(0);
    expect(placement.get('a1')).toEqual(held);
  });
});
