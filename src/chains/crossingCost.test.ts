import { crossingCost } from './crossingCost';
import { testModel } from './testModel';

describe('crossingCost', () => {
  it('costs a few times the plain delay over an idle link', () => {
    expect(crossingCost(testModel, 0)).toBeCloseTo(2.22, 1);
  });

  it('outweighs a nearly full chain once the link is half used', () => {
    expect(crossingCost(testModel, 0.7)).toBeGreaterThan(30);
  });

  it('lets only running requests cross a saturated link', () => {
    expect(crossingCost(testModel, 1.2)).toBe(Number.POSITIVE_INFINITY);
    expect(crossingCost(testModel, 1.2, true)).toBeLessThan(1_000);
  });
});
