import { isNewer, noteEvent } from './streamProgress';

describe('noteEvent', () => {
  it('averages the gaps from the second event on', () => {
    const start = { lastEventId: undefined, events: 0, meanGapMs: 0, activeMs: 0 };
    const first = noteEvent(start, '1', 300);
    expect(first).toEqual({ lastEventId: '1', events: 1, meanGapMs: 0, activeMs: 300 });
    const second = noteEvent(first, '2', 340);
    expect(second.meanGapMs).toBe(40);
    expect(noteEvent(second, '3', 480).meanGapMs).toBe(60);
  });
});

describe('isNewer', () => {
  it('refuses an event that the caller has', () => {
    expect(isNewer('7', '7')).toBe(false);
    expect(isNewer('9', '10')).toBe(false);
    expect(isNewer('11', '10')).toBe(true);
  });

  it('accepts any first event', () => {
    expect(isNewer('1', undefined)).toBe(true);
  });
});
