/** The hash under which bearer tokens are kept. */

import { createHash } from 'node:crypto';

/**
 * Gives the SHA-256 of a token.
 *
 * @param token a bearer token
 * @returns lower-case hexadecimal
 */
export function hashToken(token: string): string {
  return createHash('sha256').update(token).digest('hex');
}
