import { createHarmlessRuns } from './createHarmlessRuns';

function createRuns() {
  let nowMs = 0;
  const runs = createHarmlessRuns(() => nowMs);
  return {
    ...runs,
    setTime: (ms: number) => {
      nowMs = ms;
    },
  };
}

describe('createHarmlessRuns', () => {
  it.each([
    [0, 500, true],
    [1_000, 500, false],
    [1_000, 1_500, false],
    [1_000, 2_000, true],
    [60_000, Infinity, true],
  ])('crash after %i ms, run of %i ms: cleared %s', (crashMs, ranMs, expected) => {
    const runs = createRuns();
    runs.recordCrash('request:x', 'a', crashMs);
    runs.record(['request:x'], ranMs);
    expect(runs.disproves('request:x', 'a')).toBe(expected);
  });

  it('clears a request of a crash that another VM reports only by a complete run', () => {
    const runs = createRuns();
    runs.record(['request:x'], 60_000);
    expect(runs.disproves('request:x', 'a')).toBe(false);
    runs.record(['request:x'], Infinity);
    expect(runs.disproves('request:x', 'a')).toBe(true);
  });

  it('clears a part as it clears a request', () => {
    const runs = createRuns();
    runs.recordCrash('part:x', 'a', 1_000);
    runs.record(['part:x'], 500);
    expect(runs.disproves('part:x', 'a')).toBe(false);
    runs.record(['part:x'], 2_000);
    expect(runs.disproves('part:x', 'a')).toBe(true);
  });

  it('counts the longest of the runs of just now, and none of long before', () => {
    const runs = createRuns();
    runs.recordCrash('request:x', 'a', 0);
    runs.record(['request:x'], 500);
    runs.record(['request:x'], 100);
    expect(runs.disproves('request:x', 'a')).toBe(true);
    runs.setTime(2_000);
    expect(runs.disproves('request:x', 'a')).toBe(false);
    expect(runs.disproves('request:y', 'a')).toBe(false);
  });
});
