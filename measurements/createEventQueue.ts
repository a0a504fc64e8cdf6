/** A virtual clock: runs actions in the order of their times. */

import TinyQueue from 'tinyqueue';

export interface EventQueue {
  /** Virtual time, milliseconds. */
  readonly now: () => number;
  /** Runs an action later; actions of one time run in the order in which they were set. */
  readonly after: (delayMs: number, action: () => void) => void;
  /** Runs everything up to a time. */
  readonly runUntil: (timeMs: number) => void;
}

interface Entry {
  readonly atMs: number;
  readonly order: number;
  readonly action: () => void;
}

/** Starts a clock at 0. */
export function createEventQueue(): EventQueue {
  const queue = new TinyQueue<Entry>([], (a, b) => a.atMs - b.atMs || a.order - b.order);
  let nowMs = 0;
  let order = 0;
  return {
    now: () => nowMs,
    after: (delayMs, action) => {
      if (!Number.isFinite(delayMs)) throw new RangeError(`Not a delay: ${delayMs}`);
      order += 1;
      queue.push({ atMs: nowMs + Math.max(0, delayMs), order, action });
    },
    runUntil: (timeMs) => {
      for (
        let next = queue.peek();
        next !== undefined && next.atMs <= timeMs;
        next = queue.peek()
      ) {
        queue.pop();
        nowMs = next.atMs;
        next.action();
      }
      nowMs = timeMs;
    },
  };
}
