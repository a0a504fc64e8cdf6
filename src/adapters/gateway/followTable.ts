/** Follows one table of the store: reads it once, then waits for changes, for as long as the VM runs. */

import type { ClockReading } from '../../catalog/confirmation';
import { computeConfirmedTime, computeRelayedConfirmedTime } from '../../catalog/confirmation';
import type { StoreRow, TableRead, WatchedStore } from '../../contracts/watchedStore';
import type { TableCopy } from '../../peers/tableCopy';
import { applyTableChanges, createTableCopy } from '../../peers/tableCopy';

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
  /** Called after each answer with all that is known, for VMs that follow this one. */
  readonly onCopy?: (copy: TableCopy, known: ClockReading, isDirect: boolean) => void;
  readonly clock: () => ClockReading;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

/** First and longest pause after a failed call, milliseconds. */
const FIRST_BACKOFF_MS = 60;
const MAX_BACKOFF_MS = 600;

type RowsRead = Extract<TableRead, { readonly type: 'rows' }>;

/** Starts to follow; never ends. */
export function followTable(options: FollowOptions): void {
  const { store, table, waitMs, settleMs, clock } = options;
  let copy: TableCopy | undefined;
  let backoffMs = FIRST_BACKOFF_MS;

  const take = (result: RowsRead): void => {
    const isFirst = copy === undefined;
    copy =
      copy === undefined
        ? createTableCopy(result.rows, result.version)
        : applyTableChanges(copy, result.rows, result.version);
    if (isFirst || result.rows.length > 0) options.onRows(copy.rows);
  };
  const step = async (): Promise<number> => {
    const sent = clock();
    const wantedMs = waitMs();
    const isWait = copy !== undefined;
    const result =
      copy === undefined
        ? await store.read(table)
        : await store.watch(table, copy.version, wantedMs);
    if (result.type === 'unavailable') {
      options.onTrouble(result.detail);
      backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
      return backoffMs * (0.5 + options.random());
    }
    backoffMs = FIRST_BACKOFF_MS;
    if (result.type === 'history-gone') {
      copy = undefined;
      return 0;
    }
    const known = knownUntil(result, sent, isWait ? wantedMs : 0);
    options.onContact(known);
    take(result);
    if (copy !== undefined) options.onCopy?.(copy, known, result.relayed === undefined);
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

/** Until when there was no change beyond those that an answer names. */
function knownUntil(result: RowsRead, sent: ClockReading, waitMs: number): ClockReading {
  if (result.relayed !== undefined) return computeRelayedConfirmedTime(sent, result.relayed);
  return result.rows.length === 0 ? computeConfirmedTime(sent, waitMs) : sent;
}
