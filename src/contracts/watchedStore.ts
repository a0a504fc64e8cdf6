/**
 * The platform's store as a VM watches it: the VM reads a table in full once and then only its changes.
 */

import type { Position } from './position';

export interface StoreRow {
  readonly key: string;
  /** Undefined for a row that was removed. */
  readonly value: string | undefined;
  /** Position of the row's last change, in the era in which it was read. */
  readonly position: Position;
}

/** Age of an answer that another VM gave on behalf of the store. */
export interface RelayedAge {
  /** Time for which the other VM held the request before it answered, milliseconds. */
  readonly heldMs: number;
  /** Time from when the rows were last known to be current until the answer, milliseconds. */
  readonly agoMs: number;
}

export type TableRead =
  | {
      readonly type: 'rows';
      readonly rows: readonly StoreRow[];
      readonly position: Position;
      /** Undefined if the store itself answered. */
      readonly relayed?: RelayedAge;
    }
  /** The store no longer has the changes since that position; the table must be read again. */
  | { readonly type: 'history-gone'; readonly era: number }
  | {
      readonly type: 'unavailable';
      readonly detail: string;
      /** Undefined if there was no answer. */
      readonly era?: number;
    };

/** Sets a row, or removes it where `value` is undefined. */
export interface StoreWrite {
  readonly key: string;
  readonly value: string | undefined;
  /**
   * Position that the row must have, version 0 for a row that must not exist; undefined for no condition.
   */
  readonly ifPosition?: Position;
}

export type WriteResult =
  | { readonly type: 'committed'; readonly position: Position }
  | { readonly type: 'conflict'; readonly era: number }
  /** The write may have been applied, or may be applied later if its conditions still hold. */
  | { readonly type: 'ambiguous'; readonly detail: string }
  | { readonly type: 'unavailable'; readonly detail: string; readonly era?: number };

export interface WatchedStore {
  /** Reads all rows of a table. */
  readonly read: (table: string) => Promise<TableRead>;
  /** Waits for changes after a position; returns no rows if none occur within `waitMs`. */
  readonly watch: (table: string, since: Position, waitMs: number) => Promise<TableRead>;
  /** Applies all writes or none. */
  readonly write: (table: string, writes: readonly StoreWrite[]) => Promise<WriteResult>;
}
