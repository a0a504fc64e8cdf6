/**
 * The platform's store as a VM follows it: whole tables are read once, then only what changed. Rows
 * carry versions from one counter that grows with each transaction.
 */

export interface StoreRow {
  readonly key: string;
  /** Undefined for a row that was removed. */
  readonly value: string | undefined;
  readonly version: number;
}

/** How old an answer is that another VM gave in the store's place. */
export interface RelayedAge {
  /** Time for which the other VM held the question before it answered, milliseconds. */
  readonly heldMs: number;
  /** Time since the rows were known to be the newest, when it answered, milliseconds. */
  readonly agoMs: number;
}

export type TableRead =
  | {
      readonly type: 'rows';
      readonly rows: readonly StoreRow[];
      readonly version: number;
      /** Undefined where the store itself answered. */
      readonly relayed?: RelayedAge;
    }
  /** What changed since that version is no longer known; the table has to be read again. */
  | { readonly type: 'history-gone' }
  | { readonly type: 'unavailable'; readonly detail: string };

/** Sets a row, or removes it where `value` is undefined. */
export interface StoreWrite {
  readonly key: string;
  readonly value: string | undefined;
  /** Version that the row must have, 0 for a row that must not exist; undefined asks nothing. */
  readonly ifVersion?: number;
}

export type WriteResult =
  | { readonly type: 'committed'; readonly version: number }
  | { readonly type: 'conflict' }
  /** It may have been done, or may be done later if its conditions still hold. */
  | { readonly type: 'ambiguous'; readonly detail: string }
  | { readonly type: 'unavailable'; readonly detail: string };

export interface WatchedStore {
  /** All rows of a table. */
  readonly read: (table: string) => Promise<TableRead>;
  /** Waits for changes after a version; no rows when the time is up. */
  readonly watch: (table: string, sinceVersion: number, waitMs: number) => Promise<TableRead>;
  /** Applies all writes or none. */
  readonly write: (table: string, writes: readonly StoreWrite[]) => Promise<WriteResult>;
}
