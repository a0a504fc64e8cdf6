/**
 * The store as a VM of a large fleet follows it: waits for changes go to a relay of the own failure
 * domain, everything else to the store itself. A relay that fails or lags is left alone for a while and
 * the store is asked in its place, so no news depends on another VM for longer than one wait.
 */

import { Agent } from 'node:http';
import * as z from 'zod';
import type { TableRead, WatchedStore } from '../../contracts/watchedStore';
import type { LogFields } from '../../gateway/job';
import type { PeerRecord } from '../../peers/peer';
import { exchangeJson } from './exchangeJson';

export interface RelayedStoreOptions {
  readonly store: WatchedStore;
  /** Name of this VM. */
  readonly vm: string;
  /** The relays to follow, best first; none where every VM follows the store. */
  readonly relays: () => readonly PeerRecord[];
  /** Monotonic clock, milliseconds. */
  readonly now: () => number;
  readonly log: (message: string, fields: LogFields) => void;
}

/** Time beyond the wait for a relay's answer to come, milliseconds: links within a domain are short. */
const ANSWER_MS = 400;

/** Time for which a relay that failed is not asked, milliseconds: a restart takes about as long. */
const REST_MS = 3_000;

const HISTORY_GONE = 410;

const answerSchema = z.object({
  rows: z.array(z.object({ key: z.string(), value: z.string().optional(), version: z.number() })),
  version: z.number(),
  heldMs: z.number(),
  agoMs: z.number(),
});

/** Creates the store. */
export function createRelayedStore(options: RelayedStoreOptions): WatchedStore {
  const { store, vm, relays, now, log } = options;
  const agent = new Agent({ keepAlive: true, maxFreeSockets: 4 });
  const restingUntil = new Map<string, number>();
  let followed: string | undefined;

  const chooseRelay = (): PeerRecord | undefined => {
    const chosen = relays();
    if (chosen.some((relay) => relay.vm === vm)) return undefined;
    return chosen.find((relay) => (restingUntil.get(relay.vm) ?? 0) <= now());
  };
  const noteFollowed = (relay: PeerRecord | undefined): void => {
    if (followed !== relay?.vm) log('store followed through', { relay: relay?.vm ?? 'none' });
    followed = relay?.vm;
  };
  const ask = async (
    relay: PeerRecord,
    table: string,
    sinceVersion: number,
    waitMs: number,
  ): Promise<TableRead> => {
    const query = new URLSearchParams({
      table,
      since: String(sinceVersion),
      wait: String(waitMs),
    });
    const result = await exchangeJson({
      address: relay.tableAddress,
      method: 'GET',
      path: `/tables?${query.toString()}`,
      timeoutMs: waitMs + ANSWER_MS,
      agent,
    });
    if (result.type !== 'answered') return { type: 'unavailable', detail: result.type };
    if (result.status === HISTORY_GONE) return { type: 'history-gone' };
    const answer = answerSchema.safeParse(result.body);
    if (!answer.success) return { type: 'unavailable', detail: `status ${result.status}` };
    const { version, heldMs, agoMs } = answer.data;
    const rows = answer.data.rows.map((row) => ({ ...row, value: row.value }));
    return { type: 'rows', rows, version, relayed: { heldMs, agoMs } };
  };
  return {
    ...store,
    watch: async (table, sinceVersion, waitMs) => {
      const relay = chooseRelay();
      noteFollowed(relay);
      if (relay === undefined) return store.watch(table, sinceVersion, waitMs);
      const result = await ask(relay, table, sinceVersion, waitMs);
      if (result.type !== 'unavailable') return result;
      restingUntil.set(relay.vm, now() + REST_MS);
      log('relay does not answer', { relay: relay.vm, table, detail: result.detail });
      return store.watch(table, sinceVersion, waitMs);
    },
  };
}
