/**
 * Identifies prompt prefixes in cache events by hashes. A prompt is split into blocks of equal length,
 * and the hash of a block covers all earlier blocks, as in paged KV caches (Kwon et al., "Efficient
 * Memory Management for Large Language Model Serving with PagedAttention", SOSP 2023).
 */

import { hash32 } from '../hashing/hash32';

/** Tokens in one block of a prefix. */
export const PREFIX_BLOCK_TOKENS = 16;

/**
 * Hashes every prefix of a prompt that ends at a block's end.
 *
 * @param prompt token ids
 * @returns one hash per full block, shortest prefix first; a partial block at the end has none
 */
export function hashPrefixes(prompt: readonly number[]): readonly string[] {
  const blocks = Math.floor(prompt.length / PREFIX_BLOCK_TOKENS);
  const hashes: string[] = [];
  let hash = 0;
  for (let block = 0; block < blocks; block += 1) {
    const from = block * PREFIX_BLOCK_TOKENS;
    hash = hash32(prompt.slice(from, from + PREFIX_BLOCK_TOKENS).join(','), hash);
    hashes.push(hash.toString(16).padStart(8, '0'));
  }
  return hashes;
}
