import type { RetryBudget } from './retryBudget';
import { allowsRetry, noteRetryBudget } from './retryBudget';

const limits = { ratio: 0.2, extra: 10, windowMs: 10_000 };

const note = (budget: RetryBudget, entry: 'requests' | 'retries', times: number, nowMs: number) =>
  Array.from({ length: times }).reduce<RetryBudget>(
    (sum) => noteRetryBudget(sum, entry, nowMs, limits),
    budget,
  );

describe('allowsRetry', () => {
  it('allows the extra of an idle service, shared between the VMs', () => {
    expect(allowsRetry([], 0, 1, limits)).toBe(true);
    expect(allowsRetry(note([], 'retries', 7, 0), 0, 1, limits)).toBe(true);
    expect(allowsRetry(note([], 'retries', 8, 0), 0, 1, limits)).toBe(false);
    expect(allowsRetry(note([], 'retries', 4, 0), 0, 2, limits)).toBe(false);
  });

  it('grows with the requests', () => {
    const busy = note(note([], 'requests', 100, 0), 'retries', 20, 100);
    expect(allowsRetry(busy, 100, 1, limits)).toBe(true);
  });

  it('forgets what has left the window', () => {
    const spent = note([], 'retries', 8, 0);
    expect(allowsRetry(noteRetryBudget(spent, 'requests', 10_600, limits), 10_600, 1, limits)).toBe(
      true,
    );
  });
});
