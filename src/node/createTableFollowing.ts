/** What all followers of the store's tables on this VM share, and how other VMs follow this one. */

import { createRelayedStore } from '../adapters/gateway/createRelayedStore';
import type { RelayedStoreOptions } from '../adapters/gateway/createRelayedStore';
import { createTableRelay } from '../adapters/gateway/createTableRelay';
import type { TableRelay } from '../adapters/gateway/createTableRelay';
import type { FollowServersOptions } from '../adapters/gateway/followServers';
import type { ClockReading } from '../catalog/confirmation';
import type { StoreHealth } from '../gateway/createStoreHealth';
import type { LongPollTimings } from '../peers/chooseLongPollTimings';

/** What the followers of one table have in common. */
export type FollowedTable = Omit<FollowServersOptions, 'decodeServer' | 'registry'>;

export interface TableFollowing {
  /** @param waitMs longest wait for a change, milliseconds */
  readonly of: (table: string, waitMs: () => number) => FollowedTable;
  readonly relay: TableRelay;
}

export interface TableFollowingOptions extends RelayedStoreOptions {
  readonly times: () => LongPollTimings;
  readonly health: StoreHealth;
  readonly clock: () => ClockReading;
}

/** Time for an answer of the store to come beyond the wait, milliseconds. */
const ANSWER_MS = 200;

/** Follows nothing yet. */
export function createTableFollowing(options: TableFollowingOptions): TableFollowing {
  const { times, health, log, now, clock } = options;
  const relay = createTableRelay(clock);
  const store = createRelayedStore(options);
  return {
    of: (table, waitMs) => ({
      table,
      store,
      health,
      log,
      now,
      clock,
      random: Math.random,
      waitMs,
      batchDelayMs: () => times().settleMs,
      onCopy: (copy, known, isDirect) => {
        relay.publish(table, { copy, known, isDirect, maxAgeMs: waitMs() * 2 + ANSWER_MS });
      },
    }),
    relay,
  };
}
