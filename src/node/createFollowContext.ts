/** Options that all followers of the store's tables on this VM share, and the relay to other VMs. */

import { createFencedStore } from '../adapters/gateway/createFencedStore';
import type { FencedStore, FencedStoreOptions } from '../adapters/gateway/createFencedStore';
import { createRelayedStore } from '../adapters/gateway/createRelayedStore';
import type { RelayedStoreOptions } from '../adapters/gateway/createRelayedStore';
import { createTableRelay } from '../adapters/gateway/createTableRelay';
import type { TableRelay } from '../adapters/gateway/createTableRelay';
import type { FollowServersOptions } from '../adapters/gateway/followServers';
import type { ClockReading } from '../catalog/confirmation';
import type { StoreHealth } from '../gateway/createStoreHealth';
import type { LongPollTimings } from '../peers/chooseLongPollTimings';

/** Options that the followers of one table share. */
export type TableFollowOptions = Omit<FollowServersOptions, 'decodeServer' | 'registry'>;

export interface FollowContext {
  /** @param waitMs longest wait for a change, milliseconds */
  readonly optionsFor: (table: string, waitMs: () => number) => TableFollowOptions;
  readonly relay: TableRelay;
  readonly store: FencedStore;
}

export interface FollowContextOptions extends RelayedStoreOptions, FencedStoreOptions {
  readonly timings: () => LongPollTimings;
  readonly health: StoreHealth;
  readonly clock: () => ClockReading;
}

/** Time beyond the wait within which the store's response arrives, milliseconds. */
const RESPONSE_MARGIN_MS = 200;

/** Creates the context; it does not follow any table by itself. */
export function createFollowContext(options: FollowContextOptions): FollowContext {
  const { timings, health, log, now, clock } = options;
  const relay = createTableRelay(clock);
  const isOwnRelay = (): boolean => options.relays().some(({ vm }) => vm === options.vm);
  // Fenced last, so that the answers of relays are checked too.
  const store = createFencedStore({ ...options, store: createRelayedStore(options) });
  store.onEra(health.setBack);
  return {
    optionsFor: (table, waitMs) => ({
      table,
      store,
      health,
      log,
      now,
      clock,
      random: Math.random,
      waitMs,
      batchDelayMs: () => timings().settleMs,
      onCopy: (copy, known, isDirect) => {
        relay.publish(table, {
          copy,
          known,
          isOffered: isDirect || isOwnRelay(),
          maxAgeMs: waitMs() * 2 + RESPONSE_MARGIN_MS,
        });
      },
    }),
    relay,
    store,
  };
}
