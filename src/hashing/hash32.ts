/** A fast non-cryptographic hash for placement and sampling; not suitable for secrets. */

import { v3 } from 'murmurhash';

/**
 * Hashes text to 32 bits (MurmurHash3).
 *
 * @param text the text to hash
 * @param seed different seeds give independent hashes
 * @returns an integer in [0, 2^32)
 */
export function hash32(text: string, seed = 0): number {
  return v3(text, seed);
}
