/** Measures a rate over the recent past, with exponentially fading weights. */

export interface RateMeter {
  readonly add: (amount: number, nowMs: number) => void;
  /** Amount in a millisecond. */
  readonly perMs: (nowMs: number) => number;
}

/**
 * @param windowMs time constant of the fading, milliseconds
 */
export function createRateMeter(windowMs: number): RateMeter {
  let sum = 0;
  let atMs = 0;
  const fade = (nowMs: number): void => {
    sum *= Math.exp(-(nowMs - atMs) / windowMs);
    atMs = nowMs;
  };
  return {
    add: (amount, nowMs) => {
      fade(nowMs);
      sum += amount;
    },
    perMs: (nowMs) => {
      fade(nowMs);
      return sum / windowMs;
    },
  };
}
