/** Unique ids for the writes of one node. */

import type { Occurrence } from '../decisions/primitive';
import type { Plans } from './planState';

/** Base in which numbers are written. */
const RADIX = 36;

/**
 * Gives an id that no other write has: the holder's name is unique to this life of the VM, the call
 * counter to the state, and the seed tells apart writes under one counter.
 */
export function nextMarker({ options, calls }: Plans, { seed }: Occurrence): string {
  return `${options.holder}/${calls}/${seed.toString(RADIX)}`;
}
