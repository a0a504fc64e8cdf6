import type { Silence } from './judgeSilence';
import { judgeSilence } from './judgeSilence';

const silence = (more: Partial<Silence>): Silence => ({
  silentMs: 0,
  hasEvents: true,
  meanGapMs: 40,
  targetMs: 500,
  targetGapMs: 200,
  othersSilentMs: 10_000,
  sinceProbeMs: 10_000,
  ...more,
});

describe('judgeSilence', () => {
  it('waits through ordinary gaps', () => {
    expect(judgeSilence(silence({ silentMs: 99 }))).toBe('wait');
  });

  it('asks the engines before a pause is long enough to be late', () => {
    expect(judgeSilence(silence({ silentMs: 121 }))).toBe('probe');
  });

  it('does not ask again at once', () => {
    expect(judgeSilence(silence({ silentMs: 300, sinceProbeMs: 100 }))).toBe('wait');
  });

  it('gives the first event more time', () => {
    expect(judgeSilence(silence({ hasEvents: false, silentMs: 300 }))).toBe('wait');
    expect(judgeSilence(silence({ hasEvents: false, silentMs: 351 }))).toBe('probe');
  });

  it('gives up a stream that alone is silent', () => {
    expect(judgeSilence(silence({ silentMs: 1_301, othersSilentMs: 50 }))).toBe('give-up');
  });

  it('keeps a stream where all others are silent too, as under overload', () => {
    expect(judgeSilence(silence({ silentMs: 1_900, sinceProbeMs: 50 }))).toBe('wait');
  });
});
