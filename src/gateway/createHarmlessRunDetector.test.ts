import { createHarmlessRunDetector } from './createHarmlessRunDetector';

function createDetector() {
  let nowMs = 0;
  const detector = createHarmlessRunDetector(() => nowMs);
  return (atMs: number, events: number): boolean => {
    nowMs = atMs;
    return detector.recordEvents(events);
  };
}

describe('createHarmlessRunDetector', () => {
  it('trusts a run after some time and some events', () => {
    const record = createDetector();
    expect([record(0, 1), record(499, 20), record(500, 21)]).toEqual([false, false, true]);
  });

  it('does not trust few events, however late they arrive', () => {
    const record = createDetector();
    expect([record(0, 1), record(5_000, 7), record(5_001, 8)]).toEqual([false, false, true]);
  });

  it('tells again once a second', () => {
    const record = createDetector();
    expect([record(0, 1), record(600, 9), record(1_500, 20), record(1_600, 21)]).toEqual([
      false,
      true,
      false,
      true,
    ]);
  });
});
