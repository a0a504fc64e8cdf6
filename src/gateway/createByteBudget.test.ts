import { createByteBudget } from './createByteBudget';

describe('createByteBudget', () => {
  it('allows exactly as many bytes as stated', () => {
    const budget = createByteBudget(1_000);
    expect([600, 400, 1].map(budget.trySpend)).toEqual([true, true, false]);
  });

  it('counts a tiny piece as a larger one', () => {
    const budget = createByteBudget(256);
    expect([1, 1, 1].map(budget.trySpend)).toEqual([true, true, false]);
  });
});
