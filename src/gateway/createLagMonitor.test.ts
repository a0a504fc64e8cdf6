import { createLagMonitor } from './createLagMonitor';

function play(gapsMs: readonly number[]) {
  let nowMs = 0;
  const monitor = createLagMonitor(() => nowMs);
  for (const gapMs of gapsMs) {
    nowMs += gapMs;
    monitor.tick();
  }
  return {
    monitor,
    wait: (forMs: number) => {
      nowMs += forMs;
    },
  };
}

describe('createLagMonitor', () => {
  it('finds nothing late while the timer runs in time', () => {
    const { monitor } = play(Array(20).fill(103));
    expect(monitor.isLate()).toBe(false);
    expect(monitor.meanLagMs()).toBeCloseTo(3);
  });

  it('knows that it is late before the timer runs again, and for a while afterwards', () => {
    const { monitor, wait } = play([100, 100]);
    wait(199);
    expect(monitor.isLate()).toBe(false);
    wait(1);
    expect(monitor.isLate()).toBe(true);
    monitor.tick();
    wait(150);
    expect(monitor.isLate()).toBe(true);
    for (let tick = 0; tick < 6; tick += 1) {
      monitor.tick();
      wait(100);
    }
    expect(monitor.isLate()).toBe(false);
  });

  it('counts a freeze of seconds as late, but not as a lag that lasts', () => {
    const { monitor } = play([100, 100, 4_000]);
    expect(monitor.isLate()).toBe(true);
    expect(monitor.meanLagMs()).toBe(50);
  });
});
