import type { LayerRange } from '../engines/engine';
import { countHolders } from './countHolders';
import type { PlacementCandidate } from './placementCandidate';
import { planLayers } from './planLayers';
import { testModel } from './testModel';

/**
 * Replays a release on a virtual clock: engines of one failure domain are replaced one after the other, and each
 * new one comes up empty a second before the old one drains. A redundant engine that is ordered to hold other
 * layers first ends the requests that it runs, and only then loads.
 */

const TICK_MS = 250;
const STEP_MS = 1_500;
const OVERLAP_MS = 1_000;
const BUSY_MS = 3_000;
const STEPS = 4;
const END_MS = 20_000;

interface ReplayedEngine {
  readonly id: string;
  readonly kind: string;
  readonly appearsMs: number;
  drainsMs: number;
  layers: LayerRange | undefined;
  /** Layers that it loads, and when it holds them. */
  pending: { readonly layers: LayerRange; readonly readyMs: number } | undefined;
}

const createEngine = (id: string, kind: string, appearsMs = 0): ReplayedEngine => ({
  id,
  kind,
  appearsMs,
  drainsMs: Infinity,
  layers: undefined,
  pending: undefined,
});

function toCandidate(engine: ReplayedEngine, atMs: number, reserveMs: number): PlacementCandidate {
  return {
    id: engine.id,
    failureDomain: 'a',
    kind: engine.kind,
    layers: engine.pending?.layers ?? engine.layers,
    isAssignable: engine.pending === undefined,
    isReserve: engine.layers === undefined && atMs - engine.appearsMs < reserveMs,
    loadShare: engine.layers === undefined ? 0 : 0.3,
  };
}

interface ReleaseOutcome {
  /** Layers without a holder, summed over time, in layers times seconds. */
  readonly missing: number;
  /** Orders to engines that held other layers. */
  readonly reassigned: number;
}

/** @param reserveMs time for which a new engine is a reserve */
function replayRelease(reserveMs: number): ReleaseOutcome {
  const engines = [
    createEngine('a0', 'a100s'),
    ...Array.from({ length: 8 }, (_, index) => createEngine(`l${index}`, 'l4')),
    ...Array.from({ length: 3 }, (_, index) => createEngine(`t${index}`, 't4')),
  ];
  for (const { id, layers } of planLayers(
    testModel,
    engines.map((one) => toCandidate(one, 0, 0)),
  )) {
    const engine = engines.find((one) => one.id === id);
    if (engine !== undefined) engine.layers = layers;
  }
  for (let step = 0; step < STEPS; step += 1) {
    const appearsMs = 1_000 + step * STEP_MS;
    const old = engines[1 + step];
    if (old !== undefined) old.drainsMs = appearsMs + OVERLAP_MS;
    engines.push(createEngine(`n${step}`, 'l4', appearsMs));
  }
  let missing = 0;
  let reassigned = 0;
  for (let atMs = TICK_MS; atMs < END_MS; atMs += TICK_MS) {
    const present = engines.filter(
      ({ appearsMs, drainsMs }) => appearsMs <= atMs && atMs < drainsMs,
    );
    for (const engine of present) {
      if (engine.pending === undefined || engine.pending.readyMs > atMs) continue;
      engine.layers = engine.pending.layers;
      engine.pending = undefined;
    }
    const held = present.map((engine) => ({
      ...toCandidate(engine, atMs, reserveMs),
      layers: engine.layers,
    }));
    missing += countHolders(testModel, held).filter((count) => count === 0).length * TICK_MS;
    const candidates = present.map((engine) => toCandidate(engine, atMs, reserveMs));
    for (const { id, layers } of planLayers(testModel, candidates)) {
      const engine = engines.find((one) => one.id === id);
      if (engine === undefined) continue;
      const isBusy = engine.layers !== undefined;
      if (isBusy) reassigned += 1;
      const busyMs = isBusy ? BUSY_MS : 0;
      const loadMs = (testModel.loadMs * (layers.to - layers.from)) / testModel.layers;
      engine.layers = undefined;
      engine.pending = { layers, readyMs: atMs + busyMs + loadMs };
    }
  }
  return { missing: missing / 1_000, reassigned };
}

describe('a release of engines one after the other', () => {
  it('reassigns no engine that holds layers, and lacks them for less time, where new engines are a reserve', () => {
    const without = replayRelease(0);
    const withReserve = replayRelease(2_000);
    expect(without.reassigned).toBeGreaterThan(0);
    expect(withReserve.reassigned).toBe(0);
    expect(withReserve.missing).toBeLessThan(without.missing);
  });
});
