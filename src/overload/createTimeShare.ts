/**
 * Bounds the share of the processor's time that one kind of work may take. The load: datagrams without end, each of which
 * is cheap. What comes when the share is used up is not done.
 */

export interface TimeShare {
  /** @returns whether the work was done */
  readonly run: (work: () => void) => boolean;
}

export interface TimeShareOptions {
  /** Monotonic clock, milliseconds. */
  readonly now: () => number;
  /** Share of the time, up to 1. */
  readonly share?: number;
  /** Time that may be used at once after a pause, milliseconds. */
  readonly burstMs?: number;
}

export function createTimeShare({ now, share = 0.5, burstMs = 200 }: TimeShareOptions): TimeShare {
  let leftMs = burstMs;
  let countedMs = now();
  return {
    run: (work) => {
      const beganMs = now();
      leftMs = Math.min(burstMs, leftMs + (beganMs - countedMs) * share);
      countedMs = beganMs;
      if (leftMs <= 0) return false;
      work();
      leftMs -= now() - beganMs;
      return true;
    },
  };
}
