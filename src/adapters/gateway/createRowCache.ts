/**
 * Remembers what the rows of a table decode to. Most rows stay the same from one change of a table to the next,
 * and every VM decodes all of them at each.
 */

import type { StoreRow } from '../../contracts/watchedStore';

/** @returns the decoder, which decodes each row object once */
export function createRowCache<Value>(decode: (row: StoreRow) => Value): (row: StoreRow) => Value {
  const known = new WeakMap<StoreRow, { readonly value: Value }>();
  return (row) => {
    const found = known.get(row) ?? { value: decode(row) };
    known.set(row, found);
    return found.value;
  };
}
