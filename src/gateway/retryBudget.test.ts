import type { RetryBudget } from './retryBudget';
import { allowsRetry, recordInRetryBudget } from './retryBudget';

const limits = { ratio: 0.2, extra: 10, windowMs: 10_000 };

const record = (budget: RetryBudget, entry: 'requests' | 'retries', times: number, nowMs: number) =>
  Array.from({ length: times }).reduce<RetryBudget>(
    (sum) => recordInRetryBudget(sum, entry, nowMs, limits),
    budget,
  );

describe('allowsRetry', () => {
  it('shares the extra retries of an idle service between the VMs', () => {
    expect(allowsRetry([], 0, 1, limits)).toBe(true);
    expect(allowsRetry(record([], 'retries', 7, 0), 0, 1, limits)).toBe(true);
    expect(allowsRetry(record([], 'retries', 8, 0), 0, 1, limits)).toBe(false);
    expect(allowsRetry(record([], 'retries', 4, 0), 0, 2, limits)).toBe(false);
  });

  it('allows more retries for more requests', () => {
    const busy = record(record([], 'requests', 100, 0), 'retries', 20, 100);
    expect(allowsRetry(busy, 100, 1, limits)).toBe(true);
  });

  it('forgets what is older than the window', () => {
    const spent = record([], 'retries', 8, 0);
    expect(
      allowsRetry(recordInRetryBudget(spent, 'requests', 10_600, limits), 10_600, 1, limits),
    ).toBe(true);
  });
});
