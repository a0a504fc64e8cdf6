/** Hashes bearer tokens, which are stored only as hashes. */

import { createHash } from 'node:crypto';

/**
 * Returns the SHA-256 of a token.
 *
 * @param token the bearer token
 * @returns the hash in lower-case hexadecimal
 */
export function hashToken(token: string): string {
  return createHash('sha256').update(token).digest('hex');
}
