/** Follows whether the store answers this VM, over all of its calls. */

import type { LogFields } from './job';

/** Time without an answer after which the store counts as away, milliseconds. */
const AWAY_AFTER_MS = 1_000;

/** Time after its return in which the store still counts as back only recently, milliseconds. */
const RECENT_MS = 2_000;

export interface StoreHealth {
  readonly succeeded: () => void;
  readonly failed: (detail: string) => void;
  /** The store answered a moment ago. */
  readonly isFresh: () => boolean;
  /** The store was away and is back only for a short time, or still away. */
  readonly wasAwayRecently: () => boolean;
}

/** Follows whether the store answers this VM. */
export function createStoreHealth(
  now: () => number,
  log: (message: string, fields: LogFields) => void,
): StoreHealth {
  let okMs = now();
  let awayUntilMs = Number.NEGATIVE_INFINITY;
  let isAway = false;
  return {
    succeeded: () => {
      if (isAway) {
        awayUntilMs = now();
        log('store answers again', {});
      }
      isAway = false;
      okMs = now();
    },
    failed: (detail) => {
      if (isAway || now() - okMs < AWAY_AFTER_MS) return;
      isAway = true;
      log('store does not answer', { detail, sinceMs: Math.round(now() - okMs) });
    },
    isFresh: () => !isAway,
    wasAwayRecently: () => isAway || now() - awayUntilMs < RECENT_MS,
  };
}
