import { computeHoldMs } from './computeHoldMs';

const limit = { maxCrashes: 3, validMs: 600_000, isWholeRequest: true, holdMs: 20_000 };

describe('computeHoldMs', () => {
  it.each([
    [3, 20_000],
    [4, 80_000],
    [5, 320_000],
    [6, 600_000],
    [60, 600_000],
  ])('refuses a content with %d crashes for %d ms', (crashes, expected) => {
    expect(computeHoldMs(crashes, limit)).toBe(expected);
  });
});
