/** What the table service does with a transaction: all of its writes, or none. */

import type { Row, RowVersion, Transaction } from '../../src/contracts/table';

/** Rows by table and key. */
export type Rows = ReadonlyMap<string, Row>;

export type RowsResult =
  | { readonly type: 'committed'; readonly rows: Rows; readonly versions: readonly RowVersion[] }
  | { readonly type: 'conflict'; readonly failed: readonly Row[] };

/** Key of a row among all tables. */
export function rowKey(table: string, key: string): string {
  return `${table}\u0000${key}`;
}

/**
 * Applies a transaction.
 *
 * @param rows all rows before it
 * @returns the rows after it, or the rows whose conditions failed (version 0 where there is none)
 */
export function transactRows(rows: Rows, transaction: Transaction): RowsResult {
  const failed = transaction.conditions
    .map(({ table, key, version }) => ({ row: findRow(rows, table, key), version }))
    .filter(({ row, version }) => row.version !== version)
    .map(({ row }) => row);
  if (failed.length > 0) return { type: 'conflict', failed };
  const next = new Map(rows);
  const versions = transaction.writes.map(({ table, key, value }) => {
    if (value === undefined) {
      next.delete(rowKey(table, key));
      return 0;
    }
    const version = findRow(next, table, key).version + 1;
    next.set(rowKey(table, key), { table, key, value, version });
    return version;
  });
  return { type: 'committed', rows: next, versions };
}

function findRow(rows: Rows, table: string, key: string): Row {
  return rows.get(rowKey(table, key)) ?? { table, key, value: '', version: 0 };
}
