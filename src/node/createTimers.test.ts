import { createTimers } from './createTimers';
import type { Timers } from './createTimers';
import { OVERDUE_GRACE_MS, OVERDUE_MS } from './constants';

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

  it('fires once, at its time; setting it again moves it', () => {
    timers.set('router', 'a', 100);
    timers.set('router', 'a', 200);
    jest.advanceTimersByTime(199);
    expect(fired).toEqual([]);
    jest.advanceTimersByTime(1000);
    expect(fired).toEqual(['router/a']);
  });

  it('keeps timers of the same name on two sides apart', () => {
    timers.set('router', 'a', 100);
    timers.set('plans', 'a', 100);
    timers.clear('router', 'a');
    jest.advanceTimersByTime(100);
    expect(fired).toEqual(['plans/a']);
  });

  it('lets the fleet know of a pause at once, and the router only after waiting input', () => {
    timers.set('router', 'stall', 100);
    timers.set('fleet', 'round', 100);
    pausedMs = OVERDUE_MS + 1;
    jest.advanceTimersByTime(100);
    expect(fired).toEqual(['fleet/round']);
    jest.advanceTimersByTime(OVERDUE_GRACE_MS);
    expect(fired).toEqual(['fleet/round', 'router/stall']);
  });

  it('forgets an overdue timer that the waiting input set anew', () => {
    timers.set('router', 'stall', 100);
    pausedMs = OVERDUE_MS + 1;
    jest.advanceTimersByTime(100);
    timers.set('router', 'stall', 1000);
    jest.advanceTimersByTime(OVERDUE_GRACE_MS);
    expect(fired).toEqual([]);
  });
});
