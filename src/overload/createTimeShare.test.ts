import { createTimeShare } from './createTimeShare';

const WORK_MS = 2;

describe('createTimeShare', () => {
  const start = () => {
    let nowMs = 0;
    const { run } = createTimeShare({ now: () => nowMs, share: 0.5, burstMs: 200 });
    const work = (): void => {
      nowMs += WORK_MS;
    };
    return {
      /** Asks for work at each millisecond in which none is done; returns the time that was worked. */
      flood: (ms: number): number => {
        const endMs = nowMs + ms;
        let workedMs = 0;
        while (nowMs < endMs) {
          if (run(work)) workedMs += WORK_MS;
          else nowMs += 1;
        }
        return workedMs;
      },
      pass: (ms: number): void => {
        nowMs += ms;
      },
    };
  };

  it('does work up to its share', () => {
    const { flood } = start();
    flood(1_000);
    const workedMs = flood(1_000);
    expect(workedMs).toBeGreaterThan(480);
    expect(workedMs).toBeLessThan(520);
  });

  it('does all work of a burst after a pause', () => {
    const { flood, pass } = start();
    flood(1_000);
    pass(1_000);
    expect(flood(200)).toBe(200);
  });
});
