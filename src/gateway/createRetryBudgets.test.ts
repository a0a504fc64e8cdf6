import { createRetryBudgets } from './createRetryBudgets';

const limits = () => ({ ratio: 0.2, extra: 196, windowMs: 10_000 });

/** Retries that one VM of six grants while it serves its share of 87 requests per second. */
const grant = (seconds: number): number => {
  let nowMs = 50_000;
  const budgets = createRetryBudgets({ limits, now: () => nowMs, vms: () => 6 });
  let granted = 0;
  for (; nowMs < 50_000 + seconds * 1_000; nowMs += 69) {
    budgets.recordRequest('drafts');
    while (budgets.trySpendRetry('drafts')) granted += 1;
  }
  return granted;
};

describe('createRetryBudgets', () => {
  it('does not grant the allowance twice in a window in which all VMs restart', () => {
    const before = 0.8 * (0.2 * 874 + 196);
    const after = 6 * grant(2);
    expect(before + after).toBeLessThan(0.2 * 874 + 196);
  });

  it('grants the full allowance once the window in which it started has passed', () => {
    expect(grant(11)).toBeGreaterThan(40);
  });

  it('keeps the budgets of services separate', () => {
    const budgets = createRetryBudgets({ limits, now: () => 0, vms: () => 1 });
    for (let request = 0; request < 1_000; request += 1) budgets.recordRequest('drafts');
    const take = (service: string): number => {
      let taken = 0;
      while (budgets.trySpendRetry(service)) taken += 1;
      return taken;
    };
    expect(take('bookings')).toBe(29);
    expect(take('drafts')).toBe(189);
  });
});
