/**
 * Fences calls to the store by era. After the store came back from an older copy, nothing of an older era
 * counts: waits end so that the tables are read again, late answers are dropped, an acknowledged write is
 * unknown until it is read, and a condition on an older position is never sent.
 */

import { getEra } from '../../contracts/getEra';
import type { TableRead, WatchedStore, WriteResult } from '../../contracts/watchedStore';
import type { LogFields } from '../../gateway/job';

export interface FencedStore extends WatchedStore {
  /** Called with each later era that an answer states, after the first. */
  readonly onEra: (listener: (era: number) => void) => void;
}

export interface FencedStoreOptions {
  readonly store: WatchedStore;
  readonly log: (message: string, fields: LogFields) => void;
  readonly count: (counter: string, label: string) => void;
}

export function createFencedStore({ store, log, count }: FencedStoreOptions): FencedStore {
  const listeners: ((era: number) => void)[] = [];
  const endWaits = new Set<(read: TableRead) => void>();
  let newest: number | undefined;

  const raiseEra = (era: number): void => {
    const before = newest;
    newest = era;
    if (before === undefined) return;
    log('store era changed', { from: before, to: era });
    count('store_era_changes', '');
    for (const listener of listeners) listener(era);
    for (const endWait of [...endWaits]) endWait({ type: 'history-gone', era });
  };
  /** @returns whether the result belongs to the newest era or states none */
  const admit = (result: TableRead | WriteResult, call: string, table: string): boolean => {
    const era = getEra(result);
    if (era === undefined) return true;
    if (newest === undefined || era > newest) raiseEra(era);
    if (era === newest) return true;
    log('late answer dropped', { call, table, era, newest });
    count('late_store_answers', call);
    return false;
  };
  const fenceRead = (result: TableRead, call: string, table: string): TableRead =>
    admit(result, call, table) || result.type === 'unavailable'
      ? result
      : { type: 'history-gone', era: newest ?? 0 };

  return {
    read: async (table) => fenceRead(await store.read(table), 'read', table),
    watch: (table, since, waitMs) => {
      if (since.era < (newest ?? 0))
        return Promise.resolve({ type: 'history-gone', era: newest ?? 0 });
      return new Promise((resolve, reject) => {
        const end = (read: TableRead): void => {
          endWaits.delete(end);
          resolve(read);
        };
        endWaits.add(end);
        store.watch(table, since, waitMs).then((result) => {
          const read = fenceRead(result, 'watch', table);
          // Changes of another era don't continue the copy of the caller.
          const isContinuation = read.type !== 'rows' || read.position.era === since.era;
          end(isContinuation ? read : { type: 'history-gone', era: read.position.era });
        }, reject);
      });
    },
    write: async (table, writes) => {
      const eras = writes.flatMap(({ ifPosition }) => ifPosition?.era ?? []);
      const isOutdated = (): boolean => eras.some((era) => era !== newest);
      if (newest !== undefined && isOutdated()) return { type: 'conflict', era: newest };
      const result = await store.write(table, writes);
      const isCurrent = admit(result, 'write', table) && !isOutdated();
      if (result.type !== 'committed' || isCurrent) return result;
      return { type: 'ambiguous', detail: 'the era of the store changed' };
    },
    onEra: (listener) => {
      listeners.push(listener);
    },
  };
}
