/** The table's rows, changed in place: a run writes far more often than it copies. */

import type { RangeRead, Row, Transaction, TransactionResult } from '../../src/contracts/table';

/** Applies a transaction, all of it or nothing. */
export function transactRows(rows: Map<string, Row>, transaction: Transaction): TransactionResult {
  const failed = transaction.conditions.filter(
    ({ table, key, version }) => (rows.get(`${table} ${key}`)?.version ?? 0) !== version,
  );
  if (failed.length > 0) {
    const found = failed.map(
      ({ table, key }) => rows.get(`${table} ${key}`) ?? { table, key, value: '', version: 0 },
    );
    return { type: 'conflict', rows: found };
  }
  const versions = transaction.writes.map(({ table, key, value }) => {
    const name = `${table} ${key}`;
    if (value === undefined) {
      rows.delete(name);
      return 0;
    }
    const version = (rows.get(name)?.version ?? 0) + 1;
    rows.set(name, { table, key, value, version });
    return version;
  });
  return { type: 'committed', versions };
}

/** The rows of a range, in key order. */
export function rangeRows(rows: ReadonlyMap<string, Row>, range: RangeRead): readonly Row[] {
  return [...rows.values()]
    .filter(
      ({ table, key }) =>
        table === range.table && key >= range.from && (range.to === undefined || key < range.to),
    )
    .sort((one, other) => (one.key < other.key ? -1 : 1))
    .slice(0, range.limit);
}
