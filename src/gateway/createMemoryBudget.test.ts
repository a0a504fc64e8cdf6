import { createMemoryBudget } from './createMemoryBudget';

describe('createMemoryBudget', () => {
  it('is shared by all that hold bytes of it', () => {
    const budget = createMemoryBudget(10);
    const one = budget.open();
    const other = budget.open();
    expect([one.tryAdd(6), other.tryAdd(5), other.tryAdd(4)]).toEqual([true, false, true]);
    one.release();
    one.release();
    expect([other.tryAdd(6), other.tryAdd(1)]).toEqual([true, false]);
  });
});
