/** Follows one table of the store: reads it once, then waits for changes, for as long as the VM runs. */

import type { ClockReading } from '../../catalog/confirmation';
import { quietUntil } from '../../catalog/confirmation';
import type { StoreRow, TableRead, WatchedStore } from '../../contracts/watchedStore';

export interface FollowOptions {
  readonly store: WatchedStore;
  readonly table: string;
  /** Longest wait for a change, milliseconds; also how soon a silent connection is noticed. */
  readonly waitMs: () => number;
  /** Pause after a change, so that changes in quick succession come together, milliseconds. */
  readonly settleMs: () => number;
  /** All rows, after every change. */
  readonly onRows: (rows: ReadonlyMap<string, StoreRow>) => void;
  /** Called after each answer with the time until which the rows are known. */
  readonly onContact: (known: ClockReading) => void;
  readonly onTrouble: (detail: string) => void;
  readonly clock: () => ClockReading;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

/** First and longest pause after a failed call, milliseconds. */
const FIRST_BACKOFF_MS = 60;
const MAX_BACKOFF_MS = 600;

/** Starts to follow; never ends. */
export function followTable(options: FollowOptions): void {
  const { store, table, waitMs, settleMs, clock } = options;
  let rows = new Map<string, StoreRow>();
  let version: number | undefined;
  let backoffMs = FIRST_BACKOFF_MS;

  const take = (result: Extract<TableRead, { readonly type: 'rows' }>): void => {
    const next = version === undefined ? new Map<string, StoreRow>() : new Map(rows);
    for (const row of result.rows) {
      if (row.value === undefined) next.delete(row.key);
      else next.set(row.key, row);
    }
    const isFirst = version === undefined;
    rows = next;
    version = Math.max(version ?? 0, result.version);
    if (isFirst || result.rows.length > 0) options.onRows(rows);
  };
  const step = async (): Promise<number> => {
    const sent = clock();
    const wantedMs = waitMs();
    const result =
      version === undefined ? await store.read(table) : await store.watch(table, version, wantedMs);
    if (result.type === 'unavailable') {
      options.onTrouble(result.detail);
      backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
      return backoffMs * (0.5 + options.random());
    }
    const isQuiet = version !== undefined && result.type === 'rows' && result.rows.length === 0;
    options.onContact(isQuiet ? quietUntil(sent, wantedMs) : sent);
    backoffMs = FIRST_BACKOFF_MS;
    if (result.type === 'history-gone') {
      version = undefined;
      return 0;
    }
    take(result);
    return result.rows.length > 0 ? settleMs() : 0;
  };
  const run = async (): Promise<void> => {
    for (;;) {
      const pauseMs = await step();
      if (pauseMs > 0) await new Promise((resolve) => setTimeout(resolve, pauseMs));
    }
  };
  // The caller may still be wiring what the callbacks reach.
  setImmediate(() => void run());
}
