import { createRetryDetector } from './createRetryDetector';

describe('createRetryDetector', () => {
  it('detects a caller that has spent time on an earlier attempt', () => {
    const { isRetry } = createRetryDetector();
    expect(isRetry('drafts', 20_000, 500)).toBe(false);
    expect(isRetry('drafts', 19_900, 500)).toBe(false);
    expect(isRetry('drafts', 17_200, 500)).toBe(true);
  });

  it('compares only callers of the same route and ignores callers without a deadline', () => {
    const { isRetry } = createRetryDetector();
    isRetry('drafts', 20_000, 500);
    expect(isRetry('notes', 3_000, 500)).toBe(false);
    expect(isRetry('drafts', undefined, 500)).toBe(false);
  });
});
