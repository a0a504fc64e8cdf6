/** Guards against VMs that all ask crowded engines whether they run, and against late questions in calm. */

import { createSilenceAlarms } from './createSilenceAlarms';

const create = () => {
  let nowMs = 0;
  const changes: unknown[] = [];
  const alarms = createSilenceAlarms({
    now: () => nowMs,
    log: (_, { areTelling }) => changes.push(areTelling),
    count: () => undefined,
  });
  return {
    alarms,
    changes,
    /** Records events at 100 a second of which one of `every` comes after an unusual silence. */
    play: (forMs: number, every: number) => {
      for (let count = 1; count <= forMs / 10; count += 1) {
        nowMs += 10;
        alarms.recordGap(count % every === 0);
      }
    },
    wait: (forMs: number) => {
      nowMs += forMs;
    },
  };
};

describe('createSilenceAlarms', () => {
  it('takes a silence as telling where nothing is known, and in calm', () => {
    const { alarms, play } = create();
    expect(alarms.areTelling()).toBe(true);
    play(10_000, 100);
    expect(alarms.areTelling()).toBe(true);
  });

  it('takes none as telling while engines are crowded', () => {
    const { alarms, play } = create();
    play(2_000, 10);
    expect(alarms.areTelling()).toBe(false);
  });

  it('notices the begin and the end of a crowded time within about a period, and logs them', () => {
    const { alarms, play, changes } = create();
    play(5_000, 1_000);
    play(400, 5);
    expect(alarms.areTelling()).toBe(false);
    play(1_600, 5);
    expect(alarms.areTelling()).toBe(false);
    play(4_600, 1_000);
    expect(alarms.areTelling()).toBe(true);
    expect(changes).toEqual([false, true]);
  });

  it('does not conclude from a few events, nor from old ones', () => {
    const { alarms, play, wait } = create();
    play(300, 2);
    expect(alarms.areTelling()).toBe(true);
    play(3_000, 2);
    wait(3_001);
    expect(alarms.areTelling()).toBe(true);
  });
});
