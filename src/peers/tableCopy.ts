/**
 * A VM's copy of one table of the store, as it hands it on to other VMs: the rows, and which rows were
 * removed lately, so that another VM can be told what changed since the version that it has.
 */

import type { StoreRow } from '../contracts/watchedStore';

export interface TableCopy {
  readonly rows: ReadonlyMap<string, StoreRow>;
  /** Version at which a row was last seen removed, by key. */
  readonly removed: ReadonlyMap<string, number>;
  readonly version: number;
  /** First version from which all removals are known. */
  readonly knownSince: number;
}

/** Removals that are remembered; whoever is further behind reads the whole table. */
const MAX_REMOVED = 500;

/** @returns the copy after the whole table was read */
export function createTableCopy(rows: readonly StoreRow[], version: number): TableCopy {
  return {
    rows: new Map(rows.map((row) => [row.key, row])),
    removed: new Map(),
    version,
    knownSince: version,
  };
}

/** @returns the copy with changes applied, in the order in which they came */
export function applyTableChanges(
  copy: TableCopy,
  changes: readonly StoreRow[],
  version: number,
): TableCopy {
  if (changes.length === 0 && version <= copy.version) return copy;
  const rows = new Map(copy.rows);
  const removed = new Map(copy.removed);
  for (const row of changes) {
    // Taken out first, so that the order of the removals stays that of their versions.
    removed.delete(row.key);
    if (row.value === undefined) {
      rows.delete(row.key);
      removed.set(row.key, row.version);
    } else rows.set(row.key, row);
  }
  let { knownSince } = copy;
  for (const [key, atVersion] of removed) {
    if (removed.size <= MAX_REMOVED) break;
    removed.delete(key);
    knownSince = Math.max(knownSince, atVersion);
  }
  return { rows, removed, version: Math.max(copy.version, version), knownSince };
}

/**
 * @param copy the copy
 * @param sinceVersion version that the other VM has
 * @returns what changed since, removed rows without a value; undefined where that is not known
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
