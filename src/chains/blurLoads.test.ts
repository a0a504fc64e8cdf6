import { createRandom } from '../random/createRandom';
import { blurLoads } from './blurLoads';
import { findChain } from './findChain';
import type { ChainEngine } from './layerEngine';

/** Twenty engines that hold the whole model, the first a little less loaded than the rest. */
const engines: readonly ChainEngine[] = Array.from({ length: 20 }, (_, index) => ({
  id: `e${index}`,
  address: `e${index}:1`,
  failureDomain: 'a',
  layers: { from: 0, to: 8 },
  layerStepMs: 0.1,
  capacity: 100_000,
  reserved: index === 0 ? 20_000 : 24_000,
  entered: 0,
  slots: 10,
  startDelayMs: 0,
}));

/** Requests that the most chosen engine gets when each VM decides once by the same picture. */
const busiest = (vms: number): number => {
  const random = createRandom(7);
  const counts = new Map<string, number>();
  for (let vm = 0; vm < vms; vm += 1) {
    const chain = findChain({
      engines: blurLoads(engines, vms, random.next),
      layers: { from: 0, to: 8 },
      tokens: 100,
      fromDomain: 'a',
      domainDelayMs: 0.5,
      crossingMs: 5,
      excluded: new Set(),
      isEntry: true,
    });
    const id = chain?.[0]?.id ?? '';
    counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  return Math.max(...counts.values());
};

describe('blurLoads', () => {
  it('leaves a VM that is alone its exact picture', () => {
    expect(blurLoads(engines, 1, () => 0.5)).toEqual(engines);
  });

  it('keeps seventy VMs with the same old picture from choosing the same engine', () => {
    expect(busiest(72)).toBeLessThan(15);
  });
});
