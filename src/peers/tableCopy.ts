/**
 * A VM's copy of one table of the store, which other VMs can follow. It holds the rows and the recent
 * removals, from which the changes since another VM's version are listed.
 */

import type { StoreRow } from '../contracts/watchedStore';

export interface TableCopy {
  readonly rows: ReadonlyMap<string, StoreRow>;
  /** Version at which a row was last removed, by key. */
  readonly removed: ReadonlyMap<string, number>;
  readonly version: number;
  /** Oldest version since which all removals are known. */
  readonly knownSince: number;
}

/** Most removals kept; a VM that is further behind reads the entire table. */
const MAX_KEPT_REMOVALS = 500;

/** @returns a copy from a read of the entire table */
export function createTableCopy(rows: readonly StoreRow[], version: number): TableCopy {
  return {
    rows: new Map(rows.map((row) => [row.key, row])),
    removed: new Map(),
    version,
    knownSince: version,
  };
}

/** @returns the copy with the changes applied in the order given */
export function applyTableChanges(
  copy: TableCopy,
  changes: readonly StoreRow[],
  version: number,
): TableCopy {
  if (changes.length === 0 && version <= copy.version) return copy;
  const rows = new Map(copy.rows);
  const removed = new Map(copy.removed);
  for (const row of changes) {
    // Deleted before it is set again, which keeps the removals in the order of their versions.
    removed.delete(row.key);
    if (row.value === undefined) {
      rows.delete(row.key);
      removed.set(row.key, row.version);
    } else rows.set(row.key, row);
  }
  let { knownSince } = copy;
  for (const [key, removedVersion] of removed) {
    if (removed.size <= MAX_KEPT_REMOVALS) break;
    removed.delete(key);
    knownSince = Math.max(knownSince, removedVersion);
  }
  return { rows, removed, version: Math.max(copy.version, version), knownSince };
}

/**
 * @param copy the copy
 * @param sinceVersion version of the other VM's copy
 * @returns the changes since that version, removed rows without a value; undefined if not all are known
 */
export function listTableChanges(
  copy: TableCopy,
  sinceVersion: number,
): readonly StoreRow[] | undefined {
  if (sinceVersion < copy.knownSince) return undefined;
  const changed = [...copy.rows.values()].filter(({ version }) => version > sinceVersion);
  const removed = [...copy.removed]
    .filter(([, version]) => version > sinceVersion)
    .map(([key, version]) => ({ key, value: undefined, version }));
  return [...changed, ...removed];
}
