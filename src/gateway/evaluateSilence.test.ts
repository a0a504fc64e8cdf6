import type { Silence } from './evaluateSilence';
import { evaluateSilence } from './evaluateSilence';

const silence = (more: Partial<Silence>): Silence => ({
  silentMs: 0,
  hasEvents: true,
  meanGapMs: 40,
  targetMs: 500,
  targetGapMs: 200,
  entryEngineSilentMs: 10_000,
  sinceProbeMs: 10_000,
  ...more,
});

describe('evaluateSilence', () => {
  it('waits through ordinary gaps', () => {
    expect(evaluateSilence(silence({ silentMs: 69, meanGapMs: 30 }))).toBe('wait');
    expect(evaluateSilence(silence({ silentMs: 129, meanGapMs: 60 }))).toBe('wait');
  });

  it('probes the engines while a replacement can still read the request within the target', () => {
    expect(evaluateSilence(silence({ silentMs: 89 }))).toBe('probe');
    expect(evaluateSilence(silence({ silentMs: 71, meanGapMs: 30 }))).toBe('probe');
  });

  it('does not ask again at once', () => {
    expect(evaluateSilence(silence({ silentMs: 300, sinceProbeMs: 100 }))).toBe('wait');
  });

  it('gives the first event more time', () => {
    expect(evaluateSilence(silence({ hasEvents: false, silentMs: 300 }))).toBe('wait');
    expect(evaluateSilence(silence({ hasEvents: false, silentMs: 351 }))).toBe('probe');
  });

  it('gives up a stream that is silent while other streams are not', () => {
    expect(evaluateSilence(silence({ silentMs: 1_301, entryEngineSilentMs: 50 }))).toBe('give-up');
  });

  it('keeps a stream while all others are silent too, as under overload', () => {
    expect(evaluateSilence(silence({ silentMs: 1_900, sinceProbeMs: 50 }))).toBe('wait');
  });
});
