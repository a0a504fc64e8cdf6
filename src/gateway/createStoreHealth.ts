/** Tracks from the results of all store calls whether the store answers this VM. */

import type { LogFields } from './job';

/** Time without an answer after which the store counts as unreachable. */
const UNREACHABLE_AFTER_MS = 1_000;

/** Time after an outage during which the store still counts as recently unreachable. */
const RECENTLY_UNREACHABLE_MS = 2_000;

export interface StoreHealth {
  readonly succeeded: () => void;
  readonly failed: (detail: string) => void;
  /** Called when the store came back from an older copy; its entries may lag as after an outage. */
  readonly setBack: () => void;
  /** Whether the store counts as reachable. */
  readonly isReachable: () => boolean;
  /** Whether the store is unreachable, or was so or was set back shortly before. */
  readonly wasUnreachableRecently: () => boolean;
}

/** Creates a tracker that counts the store as reachable at first. */
export function createStoreHealth(
  now: () => number,
  log: (message: string, fields: LogFields) => void,
): StoreHealth {
  let lastSuccessMs = now();
  let unreachableUntilMs = Number.NEGATIVE_INFINITY;
  let isUnreachable = false;
  return {
    succeeded: () => {
      if (isUnreachable) {
        unreachableUntilMs = now();
        log('store answers again', {});
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
      unreachableUntilMs = now();
    },
    isReachable: () => !isUnreachable,
    wasUnreachableRecently: () =>
      isUnreachable || now() - unreachableUntilMs < RECENTLY_UNREACHABLE_MS,
  };
}
