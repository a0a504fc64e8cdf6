import { createReadDelay } from './createReadDelay';

function start() {
  let nowMs = 0;
  let idleMs = 0;
  const delay = createReadDelay({ intervalMs: 100, now: () => nowMs, idleMs: () => idleMs });
  return {
    ...delay,
    work: (forMs: number) => {
      nowMs += forMs;
    },
    idle: (forMs: number) => {
      nowMs += forMs;
      idleMs += forMs;
    },
  };
}

describe('createReadDelay', () => {
  it('finds no delay where the event loop has had nothing to do', () => {
    const { tick, work, idle, estimateMs } = start();
    for (let ticks = 0; ticks < 5; ticks += 1) {
      idle(90);
      work(10);
      tick();
    }
    idle(50);
    expect(estimateMs()).toBe(0);
  });

  it('counts the time of the current run, and half of that of the run before', () => {
    const { tick, work, estimateMs } = start();
    work(700);
    tick();
    expect(estimateMs()).toBe(300);
    work(400);
    expect(estimateMs()).toBe(300 + 300);
    work(300);
    tick();
    expect(estimateMs()).toBe(300);
  });

  it('forgets the run before once the event loop has waited', () => {
    const { tick, work, idle, estimateMs } = start();
    work(700);
    tick();
    idle(5);
    expect(estimateMs()).toBe(0);
    work(300);
    expect(estimateMs()).toBe(205);
  });

  it('counts half of a time in which the process did not run', () => {
    const { tick, idle, work, estimateMs } = start();
    tick();
    idle(4_100);
    expect(estimateMs()).toBe(2_000);
    work(100);
    expect(estimateMs()).toBe(100 + 2_000);
  });

  it('adds the wait of a connection that was not accepted to that of its first request', () => {
    const { recordAccepted, work, estimateMs } = start();
    const connection = recordAccepted(1_500);
    work(60);
    expect(estimateMs(connection)).toBe(1_560);
    expect(estimateMs()).toBe(0);
  });

  it('takes a first request that comes after idle time for one that has not waited', () => {
    const { recordAccepted, idle, estimateMs } = start();
    const connection = recordAccepted(1_500);
    idle(40);
    expect(estimateMs(connection)).toBe(0);
  });

  it('takes a connection that is accepted after a stop for one that came meanwhile', () => {
    const { tick, recordAccepted, idle, work, estimateMs } = start();
    tick();
    idle(4_100);
    const first = recordAccepted(0);
    tick();
    const second = recordAccepted(0);
    work(10);
    expect([estimateMs(first), estimateMs(second)]).toEqual([2_010, 2_010]);
  });
});
