/** A fast hash for placement and sampling; not for secrets. */

import { v3 } from 'murmurhash';

/**
 * Hashes text to 32 bits (MurmurHash3).
 *
 * @param text what to hash
 * @param seed another seed gives an independent hash
 * @returns a whole number in [0, 2^32)
 */
export function hash32(text: string, seed = 0): number {
  return v3(text, seed);
}
