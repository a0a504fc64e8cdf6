import { createRandom } from '../random/createRandom';
import { jitterLoads } from './jitterLoads';
import { findChain } from './findChain';
import type { ChainEngine } from './layerEngine';

/** Twenty engines that hold the whole model; the first has slightly less load than the others. */
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
  firstEventDelayMs: 0,
  acceptsRequests: true,
}));

/** Requests to the engine chosen most often when each VM chooses once from the same loads. */
const countBusiest = (vms: number): number => {
  const random = createRandom(7);
  const counts = new Map<string, number>();
  for (let vm = 0; vm < vms; vm += 1) {
    const chain = findChain({
      engines: jitterLoads(engines, vms, random.next),
      layers: { from: 0, to: 8 },
      tokens: 100,
      fromDomain: 'a',
      domainDelayMs: 0.5,
      crossDomainMs: 5,
      excluded: new Set(),
      isEntry: true,
    });
    const id = chain?.[0]?.id ?? '';
    counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  return Math.max(...counts.values());
};

describe('jitterLoads', () => {
  it('does not change the loads for a single VM', () => {
    expect(jitterLoads(engines, 1, () => 0.5)).toEqual(engines);
  });

  it('keeps seventy VMs with the same outdated loads from choosing the same engine', () => {
    expect(countBusiest(72)).toBeLessThan(15);
  });
});
