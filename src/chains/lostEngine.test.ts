/** Replays the loss of an engine under many streams, whose VMs replace it at the same moment. */

import { createRandom } from '../random/createRandom';
import { jitterSpeeds } from './jitterSpeeds';
import type { ChainEngine } from './layerEngine';
import { replaceStages } from './replaceStages';
import { createChainEngine } from './testEngine';

const STREAMS = 60;
const TOKENS = 900;

/** Engines that hold the lost layers: one fast, the others a third or a fifth as fast. */
const spares: readonly ChainEngine[] = [
  { ...createChainEngine('s0', 2, 6), layerStepMs: 0.02, capacity: 1_000_000 },
  ...['s1', 's2', 's3', 's4'].map((id) => ({
    ...createChainEngine(id, 2, 6),
    layerStepMs: 0.06,
    capacity: 1_000_000,
  })),
  ...['s5', 's6', 's7'].map((id) => ({
    ...createChainEngine(id, 2, 6),
    layerStepMs: 0.1,
    capacity: 1_000_000,
  })),
];

/** Time until the last replacement has read its streams, as it takes one after the other. */
const computeLongestReadMs = (engines: () => readonly ChainEngine[]): number => {
  const readMs = new Map<string, number>();
  for (let stream = 0; stream < STREAMS; stream += 1) {
    const path = replaceStages({
      stages: [
        { id: 'x', address: 'x:1', layers: { from: 0, to: 2 } },
        { id: 'y', address: 'y:1', layers: { from: 2, to: 6 } },
        { id: 'z', address: 'z:1', layers: { from: 6, to: 8 } },
      ],
      lost: new Set(['y']),
      engines: engines(),
      domains: new Map(),
      tokens: TOKENS,
      fromDomain: 'a',
      domainDelayMs: 0.5,
      crossDomainMs: 5,
      excluded: new Set(),
    });
    for (const { id, layers } of path ?? []) {
      const engine = spares.find((spare) => spare.id === id);
      const ms = (engine?.layerStepMs ?? 0) * (layers.to - layers.from) * TOKENS * 0.01;
      readMs.set(id, (readMs.get(id) ?? 0) + ms);
    }
  }
  return Math.max(...readMs.values());
};

/** The least time any assignment can take: all engines read all the time. */
const bestMs =
  (STREAMS * TOKENS * 4 * 0.01) /
  spares.reduce((rate, { layerStepMs }) => rate + 1 / layerStepMs, 0);

describe('the streams of a lost engine', () => {
  it('are read by all engines that hold its layers, within twice the least time', () => {
    const random = createRandom(3);
    const spread = computeLongestReadMs(() => jitterSpeeds(spares, 1, random.next));
    expect(spread).toBeLessThan(bestMs * 2);
    expect(computeLongestReadMs(() => spares)).toBeGreaterThan(bestMs * 2);
  });
});
