/** Measures a recent rate with exponentially decaying weights. */

export interface RateMeter {
  readonly add: (amount: number, nowMs: number) => void;
  /** Amount per millisecond. */
  readonly perMs: (nowMs: number) => number;
}

/**
 * @param windowMs time constant of the decay, milliseconds
 */
export function createRateMeter(windowMs: number): RateMeter {
  let sum = 0;
  let atMs = 0;
  const decay = (nowMs: number): void => {
    sum *= Math.exp(-(nowMs - atMs) / windowMs);
    atMs = nowMs;
  };
  return {
    add: (amount, nowMs) => {
      decay(nowMs);
      sum += amount;
    },
    perMs: (nowMs) => {
      decay(nowMs);
      return sum / windowMs;
    },
  };
}
