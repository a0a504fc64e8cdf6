import type { PlacementCandidate } from './placementCandidate';
import { planLayers } from './planLayers';
import { testModel } from './testModel';

const engines = (
  failureDomain: string,
  kinds: Readonly<Record<string, number>>,
): readonly PlacementCandidate[] =>
  Object.entries(kinds).flatMap(([kind, count]) =>
    Array.from({ length: count }, (_, index) => ({
      id: `${failureDomain}-${kind}-${index}`,
      failureDomain,
      kind,
      layers: undefined,
      isAssignable: true,
      loadShare: 0,
    })),
  );

/** The engines of the smaller of the two deployments that the router was built for. */
const site = [
  ...engines('a', { a100s: 1, l4: 8, t4: 3 }),
  ...engines('b', { a100s: 2, l4: 4, t4: 7 }),
  ...engines('c', { h100: 1, a100s: 1, l4: 5, t4: 7 }),
];

const place = (candidates: readonly PlacementCandidate[]): readonly PlacementCandidate[] => {
  const orders = new Map(planLayers(testModel, candidates).map(({ id, layers }) => [id, layers]));
  return candidates.map((engine) => ({
    ...engine,
    layers: orders.get(engine.id) ?? engine.layers,
  }));
};

/** Number of engines that hold each layer. */
const holders = (placed: readonly PlacementCandidate[]): readonly number[] =>
  Array.from(
    { length: testModel.layers },
    (_, layer) =>
      placed.filter(
        ({ layers }) => layers !== undefined && layers.from <= layer && layer < layers.to,
      ).length,
  );

describe('planLayers', () => {
  it('gives every engine a part that fits in its memory beside requests', () => {
    for (const { kind, layers } of place(site)) {
      const held = (layers?.to ?? 0) - (layers?.from ?? 0);
      const memoryMb = testModel.kinds.get(kind)?.memoryMb ?? 0;
      expect(held).toBeGreaterThan(0);
      expect(held * testModel.layerMb).toBeLessThan(memoryMb * 0.8);
    }
  });

  it('places a complete chain within each failure domain', () => {
    const placed = place(site);
    for (const domain of ['a', 'b', 'c']) {
      const own = placed.filter(({ failureDomain }) => failureDomain === domain);
      expect(Math.min(...holders(own))).toBeGreaterThanOrEqual(1);
    }
  });

  it('gives an engine that restarts empty the layers that were lost', () => {
    const placed = place(site);
    const lost = placed.find(({ kind }) => kind === 'a100s');
    const restarted = placed.map((engine) =>
      engine.id === lost?.id ? { ...engine, layers: undefined } : engine,
    );
    const [order, ...others] = planLayers(testModel, restarted);
    expect(others).toEqual([]);
    expect(order).toEqual({ id: lost?.id, layers: lost?.layers });
  });

  it('orders nothing if every engine holds layers', () => {
    expect(planLayers(testModel, place(site))).toEqual([]);
  });

  it('reassigns a redundant engine to layers that no engine holds', () => {
    const hold = (id: string, from: number, to: number): PlacementCandidate => ({
      id,
      failureDomain: 'a',
      kind: 'h100',
      layers: { from, to },
      isAssignable: true,
      loadShare: 0,
    });
    const held = [hold('x', 0, 30), hold('y', 0, 30), hold('z', 60, 80)];
    const [order] = planLayers(testModel, held);
    expect(['x', 'y']).toContain(order?.id);
    expect(order?.layers).toEqual({ from: 30, to: 60 });
  });

  it('repairs the chain of a failure domain by its own redundant engines, the least loaded first', () => {
    const placed = place(site).filter(({ id }) => id !== 'a-l4-7');
    const gap = place(site).find(({ id }) => id === 'a-l4-7')?.layers;
    const loaded = placed.map((engine) => ({ ...engine, loadShare: 0.5 }));
    let engines = loaded;
    for (let round = 0; round < 4; round += 1) {
      const orders = new Map(planLayers(testModel, engines).map(({ id, layers }) => [id, layers]));
      engines = engines.map((engine) => ({
        ...engine,
        layers: orders.get(engine.id) ?? engine.layers,
      }));
    }
    const own = engines.filter(({ failureDomain }) => failureDomain === 'a');
    expect(gap).toBeDefined();
    expect(Math.min(...holders(own))).toBeGreaterThanOrEqual(1);
  });

  it('does not order engines that are leaving or already have an order', () => {
    const fixed = site.map((engine) => ({ ...engine, isAssignable: false }));
    expect(planLayers(testModel, fixed)).toEqual([]);
  });
});
