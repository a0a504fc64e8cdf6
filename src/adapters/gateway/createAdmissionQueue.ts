/**
 * Queues requests that found no chain with capacity, by priority and then by arrival. A request waits until
 * its deadline for a first event in time; then its caller is told to retry later.
 */

export interface AdmissionQueue {
  /**
   * Waits for a change of the server registry.
   *
   * @returns false if the time has run out
   */
  readonly wait: (priority: number, untilMs: number) => Promise<boolean>;
  /** Lets the first waiters try again. */
  readonly wake: () => void;
  readonly size: () => number;
}

interface Waiter {
  readonly priority: number;
  readonly resolve: (isWoken: boolean) => void;
  readonly timer: NodeJS.Timeout;
}

/** Waiters that try again after one change; each searches for a chain. */
const MAX_WOKEN_WAITERS = 2;

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
      for (const waiter of waiters.slice(0, MAX_WOKEN_WAITERS)) {
        remove(waiter);
        waiter.resolve(true);
      }
    },
    size: () => waiters.length,
  };
}
