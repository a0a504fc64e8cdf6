/** Applies a table transaction: all of its writes, or none. */

import type { Row, RowVersion, Transaction } from '../../src/contracts/table';

/** Rows by table and key. */
export type Rows = ReadonlyMap<string, Row>;

export type TransactionResult =
  | { readonly type: 'committed'; readonly rows: Rows; readonly versions: readonly RowVersion[] }
  | { readonly type: 'conflict'; readonly failed: readonly Row[] };

/** Formats the key of a row across all tables. */
export function formatRowKey(table: string, key: string): string {
  return `${table}\u0000${key}`;
}

/**
 * Applies a transaction.
 *
 * @param rows all rows before the transaction
 * @returns the rows after it, or the rows whose conditions failed (version 0 for a missing row)
 */
export function transactRows(rows: Rows, transaction: Transaction): TransactionResult {
  const failed = transaction.conditions
    .map(({ table, key, version }) => ({ row: findRow(rows, table, key), version }))
    .filter(({ row, version }) => row.version !== version)
    .map(({ row }) => row);
  if (failed.length > 0) return { type: 'conflict', failed };
  const next = new Map(rows);
  const versions = transaction.writes.map(({ table, key, value }) => {
    if (value === undefined) {
      next.delete(formatRowKey(table, key));
      return 0;
    }
    const version = findRow(next, table, key).version + 1;
    next.set(formatRowKey(table, key), { table, key, value, version });
    return version;
  });
  return { type: 'committed', rows: next, versions };
}

function findRow(rows: Rows, table: string, key: string): Row {
  return rows.get(formatRowKey(table, key)) ?? { table, key, value: '', version: 0 };
}
