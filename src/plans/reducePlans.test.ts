import { runRandomPlans } from './testing/runRandomPlans';

describe('reducePlans', () => {
  it.each([1, 2, 3, 4, 5, 6])(
    'leaves no plan partly applied and applies no stale order in a random run, seed %i',
    (seed) => {
      const { violations, staleOrders, confirmed } = runRandomPlans(seed);
      expect(violations).toEqual([]);
      expect(staleOrders).toBe(0);
      expect(confirmed).toBeGreaterThan(5);
    },
  );
});
