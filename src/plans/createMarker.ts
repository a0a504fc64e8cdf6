/** Creates unique ids for the writes of one node. */

import type { Occurrence } from '../decisions/primitive';
import type { Plans } from './planState';

/** Radix of the numbers in a marker. */
const RADIX = 36;

/**
 * Creates an id that no other write has: the holder's name is unique to this incarnation of the VM,
 * the call counter to the state, and the seed distinguishes writes under the same counter.
 */
export function createMarker({ options, calls }: Plans, { seed }: Occurrence): string {
  return `${options.holder}/${calls}/${seed.toString(RADIX)}`;
}
