/** Identifies a content by a cryptographic hash, so that callers cannot make two contents look alike. */

import { createHash } from 'node:crypto';

/**
 * @param parts what makes up the content, in a fixed order
 * @returns the SHA-256 digest of the parts, hexadecimal
 */
export function fingerprint(parts: readonly unknown[]): string {
  return createHash('sha256').update(JSON.stringify(parts)).digest('hex');
}
