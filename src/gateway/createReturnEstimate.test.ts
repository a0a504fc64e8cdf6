import { createReturnEstimate } from './createReturnEstimate';

describe('createReturnEstimate', () => {
  it('knows a caller that has spent its time on an earlier try', () => {
    const { isReturning } = createReturnEstimate();
    expect(isReturning('drafts', 20_000, 500)).toBe(false);
    expect(isReturning('drafts', 19_900, 500)).toBe(false);
    expect(isReturning('drafts', 17_200, 500)).toBe(true);
  });

  it('compares callers of one route only, and asks nothing of those that do not say', () => {
    const { isReturning } = createReturnEstimate();
    isReturning('drafts', 20_000, 500);
    expect(isReturning('notes', 3_000, 500)).toBe(false);
    expect(isReturning('drafts', undefined, 500)).toBe(false);
  });
});
