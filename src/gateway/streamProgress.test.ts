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

  it('tells ids apart that a floating-point number can not', () => {
    expect(isNewer('9007199254740993', '9007199254740992')).toBe(true);
    expect(isNewer('18446744073709551615', '18446744073709551614')).toBe(true);
    expect(isNewer('18446744073709551614', '18446744073709551615')).toBe(false);
  });

  it('compares ids that are no whole numbers too', () => {
    expect([isNewer('2.5', '2'), isNewer('b', 'a'), isNewer('a', 'a')]).toEqual([
      true,
      true,
      false,
    ]);
  });

  it('accepts any first event', () => {
    expect(isNewer('1', undefined)).toBe(true);
  });
});
