/**
 * Follows one table of the store: reads it once, then long-polls for changes for as long as the VM runs. After a failed
 * call the next one does not wait for a change, so that it fails soon, and the copy is current again soon after the store
 * can be reached.
 */

import type { ClockReading } from '../../catalog/confirmation';
import {
  computeConfirmedTime,
  computeRelayedConfirmedTime,
  elapsedMs,
} from '../../catalog/confirmation';
import type { Position } from '../../contracts/position';
import type { StoreRow, TableRead, WatchedStore } from '../../contracts/watchedStore';
import type { LogFields } from '../../gateway/job';
import type { TableCopy } from '../../peers/tableCopy';
import { applyTableChanges, createTableCopy } from '../../peers/tableCopy';

export interface FollowOptions {
  readonly store: WatchedStore;
  readonly table: string;
  /** Longest wait for a change, milliseconds; it also bounds when a dead connection is detected. */
  readonly waitMs: () => number;
  /** Delay after a change, which batches changes in quick succession, milliseconds. */
  readonly batchDelayMs: () => number;
  /** Called with all rows after every change, and the position of this copy. */
  readonly onRows: (rows: ReadonlyMap<string, StoreRow>, position: Position) => void;
  /** Called after each answer with the time at which the rows were last known to be current. */
  readonly onAnswer: (known: ClockReading) => void;
  readonly onFailure: (detail: string) => void;
  /** Called after each answer with the whole copy, for VMs that follow this one. */
  readonly onCopy?: (copy: TableCopy, known: ClockReading, isDirect: boolean) => void;
  readonly clock: () => ClockReading;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  readonly log: (message: string, fields: LogFields) => void;
}

/** Bounds of the exponential back-off after failed calls. */
const FIRST_BACKOFF_MS = 60;
const MAX_BACKOFF_MS = 600;

/** Longest delay before a table is read again in a new era, which spreads the reads of the VMs. */
const MAX_REREAD_DELAY_MS = 300;

type RowsRead = Extract<TableRead, { readonly type: 'rows' }>;

/** Starts to follow the table; there is no way to stop. */
export function followTable(options: FollowOptions): void {
  const { store, table, waitMs, batchDelayMs, clock } = options;
  let copy: TableCopy | undefined;
  let backoffMs = FIRST_BACKOFF_MS;
  let answeredAt = clock();
  let failures = 0;

  const recordFailure = (detail: string): void => {
    failures += 1;
    if (failures === 1) options.log('table not followed', { table, detail, ageMs: ageMs() });
    options.onFailure(detail);
  };
  const recordAnswer = (): void => {
    if (failures > 0) options.log('table followed again', { table, failures, ageMs: ageMs() });
    failures = 0;
    answeredAt = clock();
  };
  const ageMs = (): number => Math.round(elapsedMs(answeredAt, clock()));
  const applyRead = (result: RowsRead): void => {
    const isFirst = copy === undefined;
    copy =
      copy === undefined
        ? createTableCopy(result.rows, result.position)
        : applyTableChanges(copy, result.rows, result.position);
    if (!isFirst && result.rows.length === 0) return;
    try {
      options.onRows(copy.rows, copy.position);
    } catch (error) {
      // A row that no decoder foresees must not end the process, nor keep it from later rows.
      options.log('rows not applied', { table, error: String(error) });
    }
  };
  const fetchChanges = async (): Promise<number> => {
    const sent = clock();
    const wantedMs = failures > 0 ? 0 : waitMs();
    const isWait = copy !== undefined;
    const result =
      copy === undefined
        ? await store.read(table)
        : await store.watch(table, copy.position, wantedMs);
    if (result.type === 'unavailable') {
      recordFailure(result.detail);
      backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
      // A call without an answer has taken longer than the pause already.
      return backoffMs * (0.5 + options.random()) - elapsedMs(sent, clock());
    }
    recordAnswer();
    backoffMs = FIRST_BACKOFF_MS;
    if (result.type === 'history-gone') {
      const isNewEra = copy?.position.era !== result.era;
      copy = undefined;
      return isNewEra ? options.random() * MAX_REREAD_DELAY_MS : 0;
    }
    const known = computeKnownTime(result, sent, isWait ? wantedMs : 0);
    options.onAnswer(known);
    applyRead(result);
    if (copy !== undefined) options.onCopy?.(copy, known, result.relayed === undefined);
    return result.rows.length > 0 ? batchDelayMs() : 0;
  };
  const run = async (): Promise<void> => {
    for (;;) {
      const pauseMs = await fetchChanges();
      if (pauseMs > 0) await new Promise((resolve) => setTimeout(resolve, pauseMs));
    }
  };
  // Deferred because the caller may still be creating what the callbacks use.
  setImmediate(() => void run());
}

/** Computes the time up to which an answer is known to include all changes. */
function computeKnownTime(result: RowsRead, sent: ClockReading, waitMs: number): ClockReading {
  if (result.relayed !== undefined) return computeRelayedConfirmedTime(sent, result.relayed);
  return result.rows.length === 0 ? computeConfirmedTime(sent, waitMs) : sent;
}
