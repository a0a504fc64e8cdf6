import { hasCrashedTooOften } from './hasCrashedTooOften';

const limit = { maxCrashes: 2, validMs: 1_000 };
const tally = { servers: ['a', 'b'], crashes: 2, lastCrashAtMs: 100 };

describe('hasCrashedTooOften', () => {
  it('refuses a content from the maximum on', () => {
    expect(hasCrashedTooOften(tally, limit, 200)).toBe(true);
  });

  it('allows a content below it', () => {
    expect(hasCrashedTooOften({ ...tally, crashes: 1 }, limit, 200)).toBe(false);
  });

  it('allows a content whose last crash was too long ago', () => {
    expect(hasCrashedTooOften(tally, limit, 1_100)).toBe(false);
  });
});
