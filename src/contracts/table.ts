/**
 * The platform's transactional table service as the router uses it. It stores rows by table and key,
 * with a version for each row, and applies all writes of a transaction or none. It is slow, limited and
 * sometimes unavailable; a write may take effect although its reply is lost.
 */

/** Version of a row, starting at 1; 0 stands for a row that does not exist. */
export type RowVersion = number;

export interface Row {
  readonly table: string;
  readonly key: string;
  /** JSON text. */
  readonly value: string;
  readonly version: RowVersion;
}

/** Holds if the row has exactly this version; 0 requires that the row does not exist. */
export interface RowCondition {
  readonly table: string;
  readonly key: string;
  readonly version: RowVersion;
}

/** Sets a row, or deletes it where `value` is undefined. */
export interface RowWrite {
  readonly table: string;
  readonly key: string;
  readonly value: string | undefined;
}

export interface Transaction {
  readonly conditions: readonly RowCondition[];
  readonly writes: readonly RowWrite[];
}

/** `ambiguous`: the reply was lost, so the writes may or may not have taken effect. */
export type TransactionResult =
  | { readonly type: 'committed'; readonly versions: readonly RowVersion[] }
  | { readonly type: 'conflict'; readonly rows: readonly Row[] }
  | { readonly type: 'ambiguous'; readonly detail: string }
  | { readonly type: 'unavailable'; readonly detail: string };

export type ReadResult =
  | { readonly type: 'rows'; readonly rows: readonly Row[] }
  | { readonly type: 'unavailable'; readonly detail: string };

/** Rows of one table whose keys are at or after `from` and before `to`, in key order. */
export interface RangeRead {
  readonly table: string;
  readonly from: string;
  /** Exclusive end of the range; undefined reads to the end of the table. */
  readonly to?: string;
  readonly limit: number;
}

export interface Table {
  readonly transact: (transaction: Transaction) => Promise<TransactionResult>;
  readonly read: (table: string, keys: readonly string[]) => Promise<ReadResult>;
  readonly range: (range: RangeRead) => Promise<ReadResult>;
}
