import { createStartTimes } from './createStartTimes';

describe('createStartTimes', () => {
  it('predicts nothing for an engine that nobody entered', () => {
    expect(createStartTimes(() => 0).predictMs('x')).toBe(0);
  });

  it('follows the waits of streams that started', () => {
    let nowMs = 0;
    const times = createStartTimes(() => nowMs);
    for (let stream = 0; stream < 20; stream += 1) {
      const wait = times.begin('x');
      nowMs += 100;
      wait.started();
    }
    expect(times.predictMs('x')).toBeGreaterThan(70);
    expect(times.predictMs('x')).toBeLessThanOrEqual(100);
  });

  it('sees a queue that lets nobody start, before any of them has', () => {
    let nowMs = 0;
    const times = createStartTimes(() => nowMs);
    times.begin('x');
    times.begin('x');
    nowMs = 900;
    expect(times.predictMs('x')).toBe(900);
  });

  it('forgets a queue that has cleared', () => {
    let nowMs = 0;
    const times = createStartTimes(() => nowMs);
    const wait = times.begin('x');
    nowMs = 2_000;
    wait.started();
    nowMs = 6_000;
    expect(times.predictMs('x')).toBeLessThan(20);
  });

  it('drops streams that ended without a first event', () => {
    let nowMs = 0;
    const times = createStartTimes(() => nowMs);
    const wait = times.begin('x');
    nowMs = 2_000;
    wait.ended();
    expect(times.predictMs('x')).toBe(0);
  });
});
