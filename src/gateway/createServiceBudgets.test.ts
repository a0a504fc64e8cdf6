import { createServiceBudgets } from './createServiceBudgets';

const limits = () => ({ ratio: 0.2, extra: 196, windowMs: 10_000 });

/** Retries that one VM of six grants while it serves its part of 87 requests a second. */
const grant = (seconds: number): number => {
  let nowMs = 50_000;
  const budgets = createServiceBudgets({ limits, now: () => nowMs, vms: () => 6 });
  let granted = 0;
  for (; nowMs < 50_000 + seconds * 1_000; nowMs += 69) {
    budgets.noteRequest('drafts');
    while (budgets.takeRetry('drafts')) granted += 1;
  }
  return granted;
};

describe('createServiceBudgets', () => {
  it('grants no allowance twice in one window when all VMs start anew in its middle', () => {
    const before = 0.8 * (0.2 * 874 + 196);
    const after = 6 * grant(2);
    expect(before + after).toBeLessThan(0.2 * 874 + 196);
  });

  it('grants the whole allowance once the window in which it started has passed', () => {
    expect(grant(11)).toBeGreaterThan(40);
  });

  it('keeps services apart', () => {
    const budgets = createServiceBudgets({ limits, now: () => 0, vms: () => 1 });
    for (let request = 0; request < 1_000; request += 1) budgets.noteRequest('drafts');
    const take = (service: string): number => {
      let taken = 0;
      while (budgets.takeRetry(service)) taken += 1;
      return taken;
    };
    expect(take('bookings')).toBe(29);
    expect(take('drafts')).toBe(189);
  });
});
