import { isNewer, recordEvent } from './streamProgress';

describe('recordEvent', () => {
  it('averages the gaps from the second event onwards', () => {
    const start = { lastEventId: undefined, events: 0, meanGapMs: 0, lastActivityMs: 0 };
    const first = recordEvent(start, '1', 300);
    expect(first).toEqual({ lastEventId: '1', events: 1, meanGapMs: 0, lastActivityMs: 300 });
    const second = recordEvent(first, '2', 340);
    expect(second.meanGapMs).toBe(40);
    expect(recordEvent(second, '3', 480).meanGapMs).toBe(60);
  });
});

describe('isNewer', () => {
  it('rejects an event that the caller has already received', () => {
    expect(isNewer('7', '7')).toBe(false);
    expect(isNewer('9', '10')).toBe(false);
    expect(isNewer('11', '10')).toBe(true);
  });

  it('accepts any first event', () => {
    expect(isNewer('1', undefined)).toBe(true);
  });
});
