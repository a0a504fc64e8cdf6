/**
 * Requests that found no chain with room. They wait in the order of their priority, then of their
 * arrival, for as long as a first event in time is still possible; then they are told to come back.
 */

export interface AdmissionQueue {
  /**
   * Waits for a change on the board.
   *
   * @returns false where the time is up
   */
  readonly wait: (priority: number, untilMs: number) => Promise<boolean>;
  /** Lets the first in line try again. */
  readonly wake: () => void;
  readonly size: () => number;
}

interface Waiter {
  readonly priority: number;
  readonly resolve: (isWoken: boolean) => void;
  readonly timer: NodeJS.Timeout;
}

/** Waiters that try again at one change; each takes a search for a chain. */
const WOKEN_AT_ONCE = 2;

/**
 * @param now monotonic clock, milliseconds
 */
export function createAdmissionQueue(now: () => number): AdmissionQueue {
  let waiters: readonly Waiter[] = [];
  const remove = (waiter: Waiter): void => {
    waiters = waiters.filter((other) => other !== waiter);
    clearTimeout(waiter.timer);
  };
  return {
    wait: (priority, untilMs) =>
      new Promise((resolve) => {
        const leftMs = untilMs - now();
        if (leftMs <= 0) {
          resolve(false);
          return;
        }
        const timer = setTimeout(() => {
          remove(waiter);
          resolve(false);
        }, leftMs);
        const waiter: Waiter = { priority, resolve, timer };
        const at = waiters.findIndex((other) => other.priority > priority);
        waiters = at < 0 ? [...waiters, waiter] : waiters.toSpliced(at, 0, waiter);
      }),
    wake: () => {
      for (const waiter of waiters.slice(0, WOKEN_AT_ONCE)) {
        remove(waiter);
        waiter.resolve(true);
      }
    },
    size: () => waiters.length,
  };
}
