/**
 * Chooses which refusals for lack of processor time are logged one by one. At several times the load, a line for each would
 * take the time that is short. The others are counted, and the next line tells how many there were.
 */

export interface RefusalSample {
  /** @returns refusals without a line since the last one that has one; undefined if this one has none either */
  readonly take: () => number | undefined;
}

/** Refusals that are logged in a second. */
const LOGGED_PER_SECOND = 10;

const MS_PER_SECOND = 1_000;

/** @param now monotonic clock, milliseconds */
export function createRefusalSample(now: () => number): RefusalSample {
  let beganMs = Number.NEGATIVE_INFINITY;
  let logged = 0;
  let unlogged = 0;
  return {
    take: () => {
      if (now() - beganMs >= MS_PER_SECOND) {
        beganMs = now();
        logged = 0;
      }
      if (logged >= LOGGED_PER_SECOND) {
        unlogged += 1;
        return undefined;
      }
      logged += 1;
      const skipped = unlogged;
      unlogged = 0;
      return skipped;
    },
  };
}
