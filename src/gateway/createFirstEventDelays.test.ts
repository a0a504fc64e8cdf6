import { createFirstEventDelays } from './createFirstEventDelays';

describe('createFirstEventDelays', () => {
  it('predicts no delay for an engine without streams', () => {
    expect(createFirstEventDelays(() => 0).predictMs('x')).toBe(0);
  });

  it('follows the delays of streams that have started', () => {
    let nowMs = 0;
    const delays = createFirstEventDelays(() => nowMs);
    for (let stream = 0; stream < 20; stream += 1) {
      const wait = delays.trackStream('x');
      nowMs += 100;
      wait.started();
    }
    expect(delays.predictMs('x')).toBeGreaterThan(70);
    expect(delays.predictMs('x')).toBeLessThanOrEqual(100);
  });

  it('detects a blocked queue before any of its streams has a first event', () => {
    let nowMs = 0;
    const delays = createFirstEventDelays(() => nowMs);
    delays.trackStream('x');
    delays.trackStream('x');
    nowMs = 900;
    expect(delays.predictMs('x')).toBe(900);
  });

  it('forgets the delay of a queue that has cleared', () => {
    let nowMs = 0;
    const delays = createFirstEventDelays(() => nowMs);
    const wait = delays.trackStream('x');
    nowMs = 2_000;
    wait.started();
    nowMs = 6_000;
    expect(delays.predictMs('x')).toBeLessThan(20);
  });

  it('ignores streams that ended without a first event', () => {
    let nowMs = 0;
    const delays = createFirstEventDelays(() => nowMs);
    const wait = delays.trackStream('x');
    nowMs = 2_000;
    wait.ended();
    expect(delays.predictMs('x')).toBe(0);
  });
});
