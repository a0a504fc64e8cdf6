/** Orders positions in the store's history. */

import type { Position } from './position';

/** @returns a negative number if the first position is the older one, 0 if they are the same */
export function comparePositions(one: Position, other: Position): number {
  return one.era === other.era ? one.version - other.version : one.era - other.era;
}
