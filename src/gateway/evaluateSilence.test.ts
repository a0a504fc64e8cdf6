import type { Silence } from './evaluateSilence';
import { evaluateSilence } from './evaluateSilence';

const silence = (more: Partial<Silence>): Silence => ({
  silentMs: 0,
  hasEvents: true,
  meanGapMs: 40,
  targetMs: 500,
  targetGapMs: 200,
  entryEngineSilentMs: 10_000,
  isEntrySuspected: false,
  isEntryUnanswered: false,
  isRunGone: false,
  hasBegun: true,
  sinceArrivalMs: 10_000,
  sinceProbeMs: 10_000,
  mayProbeEarly: true,
  ...more,
});

const isProbeDue = (more: Partial<Silence>): boolean => evaluateSilence(silence(more)).isProbeDue;
const isMoveDue = (more: Partial<Silence>): boolean => evaluateSilence(silence(more)).isMoveDue;

describe('evaluateSilence', () => {
  it('waits through ordinary gaps', () => {
    expect(isProbeDue({ silentMs: 69, meanGapMs: 30 })).toBe(false);
    expect(isProbeDue({ silentMs: 129, meanGapMs: 60 })).toBe(false);
  });

  it('probes the engines while a replacement can still read the request within the target', () => {
    expect(isProbeDue({ silentMs: 89 })).toBe(true);
    expect(isProbeDue({ silentMs: 71, meanGapMs: 30 })).toBe(true);
  });

  it('waits until the next event is nearly late where unusual silences are common', () => {
    const crowded = { mayProbeEarly: false, meanGapMs: 40 };
    expect(isProbeDue({ ...crowded, silentMs: 159 })).toBe(false);
    expect(isProbeDue({ ...crowded, silentMs: 160 })).toBe(true);
    expect(isProbeDue({ ...crowded, hasEvents: false, silentMs: 351 })).toBe(true);
  });

  it('does not ask again at once', () => {
    expect(isProbeDue({ silentMs: 300, sinceProbeMs: 100 })).toBe(false);
  });

  it('asks less often the longer a silence lasts', () => {
    expect(isProbeDue({ silentMs: 1_000, sinceProbeMs: 499 })).toBe(false);
    expect(isProbeDue({ silentMs: 1_000, sinceProbeMs: 500 })).toBe(true);
  });

  it('gives the first event more time', () => {
    expect(isProbeDue({ hasEvents: false, silentMs: 300 })).toBe(false);
    expect(isProbeDue({ hasEvents: false, silentMs: 351 })).toBe(true);
  });

  it('moves a stream that is silent while other streams are not', () => {
    expect(isMoveDue({ silentMs: 1_301, entryEngineSilentMs: 50 })).toBe(true);
  });

  it('keeps a stream while all others are silent too, as under overload', () => {
    expect(isMoveDue({ silentMs: 1_900, sinceProbeMs: 50 })).toBe(false);
  });

  it('moves a stream whose engine does not answer once its next event is late', () => {
    expect(isMoveDue({ silentMs: 199, isEntrySuspected: true })).toBe(false);
    expect(isMoveDue({ silentMs: 200, isEntrySuspected: true })).toBe(true);
    const patient = { isEntrySuspected: true, targetGapMs: 300 };
    expect(isMoveDue({ ...patient, silentMs: 299 })).toBe(false);
    expect(isMoveDue({ ...patient, silentMs: 300 })).toBe(true);
  });

  it('moves a stream at once whose first engine alone does not answer', () => {
    expect(isMoveDue({ silentMs: 170, isEntryUnanswered: true })).toBe(true);
    expect(isMoveDue({ silentMs: 40, isEntryUnanswered: true })).toBe(false);
  });

  it('keeps a stream that is silent alone until its caller would soon leave', () => {
    expect(isMoveDue({ silentMs: 1_100, entryEngineSilentMs: 50 })).toBe(false);
    const patient = { entryEngineSilentMs: 50, targetMs: 2_000 };
    expect(isMoveDue({ ...patient, silentMs: 4_700 })).toBe(false);
    expect(isMoveDue({ ...patient, silentMs: 4_800 })).toBe(true);
  });

  it('moves a stream without events off an engine that does not answer while it can be in time', () => {
    const waiting = { hasEvents: false, hasBegun: false, isEntrySuspected: true };
    expect(isMoveDue({ ...waiting, silentMs: 100, sinceArrivalMs: 100 })).toBe(true);
    expect(isMoveDue({ ...waiting, silentMs: 100, sinceArrivalMs: 600 })).toBe(false);
    expect(isMoveDue({ ...waiting, silentMs: 200, sinceArrivalMs: 600 })).toBe(true);
    const answering = { ...waiting, isEntrySuspected: false };
    expect(isMoveDue({ ...answering, silentMs: 100, sinceArrivalMs: 100 })).toBe(false);
  });

  it('gives a resumed stream as much time as a stream with events', () => {
    const resumed = { hasEvents: false, hasBegun: true, isEntrySuspected: true };
    expect(isMoveDue({ ...resumed, silentMs: 100, sinceArrivalMs: 100 })).toBe(false);
    expect(isMoveDue({ ...resumed, silentMs: 200 })).toBe(true);
  });

  it('moves a stream whose run the engine does not know, once no events come any more', () => {
    expect(isMoveDue({ isRunGone: true, silentMs: 199 })).toBe(false);
    expect(isMoveDue({ isRunGone: true, silentMs: 200 })).toBe(true);
  });
});
