/** Computes the score of a pair for rendezvous hashing (Thaler and Ravishankar, 1998). */

/**
 * Mixes two 32-bit hashes into one with the finaliser of MurmurHash3. Hashing each name once and mixing
 * pairs is far cheaper than hashing each pair of names.
 *
 * @returns an integer in [0, 2^32)
 */
export function mixHashes(one: number, other: number): number {
  let mixed = Math.imul(one, 0x9e3779b1) ^ other;
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
