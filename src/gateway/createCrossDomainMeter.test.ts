import { createCrossDomainMeter } from './createCrossDomainMeter';

const stage = (id: string) => ({ id, address: `${id}:1`, layers: { from: 0, to: 1 } });
const path = ['a1', 'b1', 'b2', 'a2'].map(stage);
const meter = createCrossDomainMeter({ domainOf: (id) => id[0], now: () => 0 });

describe('createCrossDomainMeter', () => {
  it('counts the hops of a path between failure domains', () => {
    expect(meter.count(path)).toBe(2);
  });

  it('ignores hops between engines that already hold the state', () => {
    expect(meter.count(path, new Set(['a1', 'b1', 'b2']))).toBe(1);
  });

  it('counts tokens once for each link that they cross', () => {
    meter.recordRequest(path, 500);
    expect(meter.tokensPerMs()).toBe(1);
  });
});
