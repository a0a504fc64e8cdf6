/** Tracks from the results of all store calls whether the store answers this VM. */

import type { LogFields } from './job';

/** Time without an answer after which the store counts as unreachable. */
const UNREACHABLE_AFTER_MS = 1_000;

/** Shortest outage after which entries that their owners renew may be missing. */
const MIN_EXPIRING_OUTAGE_MS = 3_000;

export interface StoreHealth {
  readonly succeeded: () => void;
  readonly failed: (detail: string) => void;
  /** Called when the store came back from an older copy; its entries may lag as after an outage. */
  readonly setBack: () => void;
  /** Whether the store counts as reachable. */
  readonly isReachable: () => boolean;
  /**
   * Time of the first answer after an outage in which entries may have expired, or at which the store was set back,
   * monotonic, milliseconds; negative infinity before the first of these.
   */
  readonly returnedMs: () => number;
}

/** Creates a tracker that counts the store as reachable at first. */
export function createStoreHealth(
  now: () => number,
  log: (message: string, fields: LogFields) => void,
): StoreHealth {
  let lastSuccessMs = now();
  let returnedMs = Number.NEGATIVE_INFINITY;
  let isUnreachable = false;
  return {
    succeeded: () => {
      if (isUnreachable) {
        const outageMs = now() - lastSuccessMs;
        if (outageMs >= MIN_EXPIRING_OUTAGE_MS) returnedMs = now();
        log('store answers again', { outageMs: Math.round(outageMs) });
      }
      isUnreachable = false;
      lastSuccessMs = now();
    },
    failed: (detail) => {
      if (isUnreachable || now() - lastSuccessMs < UNREACHABLE_AFTER_MS) return;
      isUnreachable = true;
      log('store does not answer', { detail, sinceMs: Math.round(now() - lastSuccessMs) });
    },
    setBack: () => {
      returnedMs = now();
    },
    isReachable: () => !isUnreachable,
    returnedMs: () => returnedMs,
  };
}
