import { createCrossingMeter } from './createCrossingMeter';

const stage = (id: string) => ({ id, address: `${id}:1`, layers: { from: 0, to: 1 } });
const path = ['a1', 'b1', 'b2', 'a2'].map(stage);
const meter = createCrossingMeter({ domainOf: (id) => id[0], now: () => 0 });

describe('createCrossingMeter', () => {
  it('counts the links between failure domains on a path', () => {
    expect(meter.count(path)).toBe(2);
  });

  it('leaves out links between engines that hold the state already', () => {
    expect(meter.count(path, new Set(['a1', 'b1', 'b2']))).toBe(1);
  });

  it('measures tokens over each link', () => {
    meter.add(path, 500);
    expect(meter.perMs()).toBe(1);
  });
});
