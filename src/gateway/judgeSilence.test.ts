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
    expect(judgeSilence(silence({ silentMs: 69, meanGapMs: 30 }))).toBe('wait');
    expect(judgeSilence(silence({ silentMs: 129, meanGapMs: 60 }))).toBe('wait');
  });

  it('asks the engines while a replacement can still read the request within the target', () => {
    expect(judgeSilence(silence({ silentMs: 89 }))).toBe('probe');
    expect(judgeSilence(silence({ silentMs: 71, meanGapMs: 30 }))).toBe('probe');
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
