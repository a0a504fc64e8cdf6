/**
 * Access to the store for a VM of a large fleet: long polls for changes go to a relay in the same failure
 * domain, everything else to the store itself. After a failed poll the relay is backed off and the store is
 * queried instead, so updates depend on another VM for no longer than one poll. The first relay of a domain always
 * follows the store, and the second one too where the age of the table decides on requests; other tables it follows
 * through the first, so that one VM of a domain asks for them.
 */

import * as z from 'zod';
import type { Position } from '../../contracts/position';
import type { TableRead, WatchedStore } from '../../contracts/watchedStore';
import type { LogFields } from '../../gateway/job';
import type { PeerRecord } from '../../peers/peer';
import type { ReplyMemory } from '../../replies/createReplyMemory';
import { createConnectionPool } from './createConnectionPool';

export interface RelayedStoreOptions {
  /** Memory of all replies of the VM. */
  readonly replyMemory?: ReplyMemory;
  readonly store: WatchedStore;
  /** Name of this VM. */
  readonly vm: string;
  /** Relays in order of preference; none where every VM follows the store. */
  readonly relays: () => readonly PeerRecord[];
  /** Whether every relay follows the table at the store itself. */
  readonly isFollowedByAllRelays: (table: string) => boolean;
  /** Monotonic clock, milliseconds. */
  readonly now: () => number;
  readonly log: (message: string, fields: LogFields) => void;
}

/** Time allowed for a relay's answer beyond the poll itself; links within a domain are short. */
const ANSWER_MARGIN_MS = 400;

/** Back-off of a failed relay; a restart takes about as long. */
const RELAY_BACKOFF_MS = 3_000;

const HISTORY_GONE = 410;

const positionSchema = z.object({ era: z.number(), version: z.number() });

const goneSchema = z.object({ era: z.number() });

const answerSchema = z.object({
  rows: z.array(
    z.object({ key: z.string(), value: z.string().optional(), position: positionSchema }),
  ),
  position: positionSchema,
  heldMs: z.number(),
  agoMs: z.number(),
});

export function createRelayedStore(options: RelayedStoreOptions): WatchedStore {
  const { store, vm, relays, isFollowedByAllRelays, now, log } = options;
  const { exchange } = createConnectionPool({ memory: options.replyMemory });
  const backOffUntilMs = new Map<string, number>();
  /** By table. */
  const followedVms = new Map<string, string | undefined>();

  const chooseRelay = (table: string): PeerRecord | undefined => {
    const chosen = relays();
    const own = chosen.findIndex((relay) => relay.vm === vm);
    if (own >= 0 && isFollowedByAllRelays(table)) return undefined;
    const earlier = own < 0 ? chosen : chosen.slice(0, own);
    return earlier.find((relay) => (backOffUntilMs.get(relay.vm) ?? 0) <= now());
  };
  const recordRelay = (table: string, relay: PeerRecord | undefined): void => {
    if (followedVms.get(table) === relay?.vm) return;
    log('store followed through', { table, relay: relay?.vm ?? 'none' });
    followedVms.set(table, relay?.vm);
  };
  const queryRelay = async (
    relay: PeerRecord,
    table: string,
    since: Position,
    waitMs: number,
  ): Promise<TableRead> => {
    const query = new URLSearchParams({
      table,
      era: String(since.era),
      since: String(since.version),
      wait: String(waitMs),
    });
    const result = await exchange({
      address: relay.tableAddress,
      method: 'GET',
      path: `/tables?${query.toString()}`,
      timeoutMs: waitMs + ANSWER_MARGIN_MS,
    });
    if (result.type === 'refused') return { type: 'unavailable', detail: result.detail };
    if (result.type === 'silent') return { type: 'unavailable', detail: result.type };
    const gone = goneSchema.safeParse(result.body);
    if (result.status === HISTORY_GONE && gone.success) {
      return { type: 'history-gone', era: gone.data.era };
    }
    const answer = answerSchema.safeParse(result.body);
    if (!answer.success) return { type: 'unavailable', detail: `status ${result.status}` };
    const { position, heldMs, agoMs } = answer.data;
    const rows = answer.data.rows.map((row) => ({ ...row, value: row.value }));
    return { type: 'rows', rows, position, relayed: { heldMs, agoMs } };
  };
  return {
    ...store,
    watch: async (table, since, waitMs) => {
      const relay = chooseRelay(table);
      recordRelay(table, relay);
      if (relay === undefined) return store.watch(table, since, waitMs);
      const result = await queryRelay(relay, table, since, waitMs);
      if (result.type !== 'unavailable') return result;
      backOffUntilMs.set(relay.vm, now() + RELAY_BACKOFF_MS);
      log('relay does not answer', { relay: relay.vm, table, detail: result.detail });
      // What the relay did not report may be old, and this connection may be silent too.
      return store.watch(table, since, 0);
    },
  };
}
