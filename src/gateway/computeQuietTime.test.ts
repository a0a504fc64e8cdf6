import { computeQuietTime } from './computeQuietTime';

describe('computeQuietTime', () => {
  it('never ends before the time that was asked for, and spreads the returns', () => {
    expect(computeQuietTime(1_000, 0)).toBe(1_000);
    expect(computeQuietTime(1_000, 0.5)).toBe(1_125);
    expect(computeQuietTime(10_000, 0.5)).toBe(10_250);
  });

  it('bounds absurd times', () => {
    expect(computeQuietTime(1e12, 0)).toBe(300_000);
  });
});
