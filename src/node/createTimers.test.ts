import { createTimers } from './createTimers';
import type { Timers } from './createTimers';
import { OVERDUE_GRACE_MS, OVERDUE_THRESHOLD_MS } from './constants';

describe('createTimers', () => {
  let pausedMs: number;
  let fired: string[];
  let timers: Timers;

  beforeEach(() => {
    jest.useFakeTimers();
    pausedMs = 0;
    fired = [];
    timers = createTimers({
      onFired: (side, timer) => fired.push(`${side}/${timer}`),
      now: () => Date.now() + pausedMs,
    });
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  it('fires a timer once, and reschedules it when it is set again', () => {
    timers.set('router', 'a', 100);
    timers.set('router', 'a', 200);
    jest.advanceTimersByTime(199);
    expect(fired).toEqual([]);
    jest.advanceTimersByTime(1000);
    expect(fired).toEqual(['router/a']);
  });

  it('keeps timers of the same name in two components apart', () => {
    timers.set('router', 'a', 100);
    timers.set('plans', 'a', 100);
    timers.clear('router', 'a');
    jest.advanceTimersByTime(100);
    expect(fired).toEqual(['plans/a']);
  });

  it('fires overdue timers of the fleet at once, and those of the router after unread input', () => {
    timers.set('router', 'stall', 100);
    timers.set('fleet', 'round', 100);
    pausedMs = OVERDUE_THRESHOLD_MS + 1;
    jest.advanceTimersByTime(100);
    expect(fired).toEqual(['fleet/round']);
    jest.advanceTimersByTime(OVERDUE_GRACE_MS);
    expect(fired).toEqual(['fleet/round', 'router/stall']);
  });

  it('drops an overdue timer that is set again while unread input is processed', () => {
    timers.set('router', 'stall', 100);
    pausedMs = OVERDUE_THRESHOLD_MS + 1;
    jest.advanceTimersByTime(100);
    timers.set('router', 'stall', 1000);
    jest.advanceTimersByTime(OVERDUE_GRACE_MS);
    expect(fired).toEqual([]);
  });
});
