import { computeCrossDomainCost } from './computeCrossDomainCost';
import { testModel } from './testModel';

describe('computeCrossDomainCost', () => {
  it('costs a few times the plain delay over an idle link', () => {
    expect(computeCrossDomainCost(testModel, 0)).toBeCloseTo(2.22, 1);
  });

  it('outweighs a nearly full chain once the link is 70% utilized', () => {
    expect(computeCrossDomainCost(testModel, 0.7)).toBeGreaterThan(30);
  });

  it('lets only running requests use a saturated link', () => {
    expect(computeCrossDomainCost(testModel, 1.2)).toBe(Number.POSITIVE_INFINITY);
    expect(computeCrossDomainCost(testModel, 1.2, true)).toBeLessThan(1_000);
  });
});
