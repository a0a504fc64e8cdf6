/**
 * A VM's copy of one table of the store, which other VMs can follow. It holds the rows and the recent
 * removals, from which the changes since another VM's position are listed.
 */

import { comparePositions } from '../contracts/comparePositions';
import type { Position } from '../contracts/position';
import type { StoreRow } from '../contracts/watchedStore';

export interface TableCopy {
  readonly rows: ReadonlyMap<string, StoreRow>;
  /** Position at which a row was last removed, by key. */
  readonly removed: ReadonlyMap<string, Position>;
  readonly position: Position;
  /** Oldest position since which all removals are known. */
  readonly knownSince: Position;
}

/** Most removals kept; a VM that is further behind reads the entire table. */
const MAX_KEPT_REMOVALS = 500;

/** @returns a copy from a read of the entire table */
export function createTableCopy(rows: readonly StoreRow[], position: Position): TableCopy {
  return {
    rows: new Map(rows.map((row) => [row.key, row])),
    removed: new Map(),
    position,
    knownSince: position,
  };
}

/** @returns the copy with the changes applied in the order given; they must be of the copy's era */
export function applyTableChanges(
  copy: TableCopy,
  changes: readonly StoreRow[],
  position: Position,
): TableCopy {
  const isNewer = comparePositions(position, copy.position) > 0;
  if (changes.length === 0 && !isNewer) return copy;
  const rows = new Map(copy.rows);
  const removed = new Map(copy.removed);
  for (const row of changes) {
    // Deleted before it is set again, which keeps the removals in the order of their positions.
    removed.delete(row.key);
    if (row.value === undefined) {
      rows.delete(row.key);
      removed.set(row.key, row.position);
    } else rows.set(row.key, row);
  }
  let { knownSince } = copy;
  for (const [key, removedAt] of removed) {
    if (removed.size <= MAX_KEPT_REMOVALS) break;
    removed.delete(key);
    if (comparePositions(removedAt, knownSince) > 0) knownSince = removedAt;
  }
  return { rows, removed, position: isNewer ? position : copy.position, knownSince };
}

/**
 * @param copy the copy
 * @param since position of the other VM's copy
 * @returns the changes since that position, removed rows without a value; undefined if not all are known
 */
export function listTableChanges(
  copy: TableCopy,
  since: Position,
): readonly StoreRow[] | undefined {
  if (since.era !== copy.position.era || comparePositions(since, copy.knownSince) < 0) {
    return undefined;
  }
  const isLater = (position: Position): boolean => comparePositions(position, since) > 0;
  const changed = [...copy.rows.values()].filter(({ position }) => isLater(position));
  const removed = [...copy.removed]
    .filter(([, position]) => isLater(position))
    .map(([key, position]) => ({ key, value: undefined, position }));
  return [...changed, ...removed];
}
