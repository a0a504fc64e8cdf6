/**
 * Identifies a content that ends with a body, as `fingerprint` does with the body as a text of one character a byte.
 * The body is hashed in slices: its JSON text can take six times its memory.
 */

import { createHash } from 'node:crypto';

const SLICE_BYTES = 16 * 1024;

/**
 * @param parts what makes up the content besides the body, in a fixed order, at least one
 * @param body the body, undefined without one
 * @returns the SHA-256 digest of the parts and the body, hexadecimal
 */
export function fingerprintContent(parts: readonly unknown[], body: Buffer | undefined): string {
  const hash = createHash('sha256').update(JSON.stringify(parts).slice(0, -1));
  if (body === undefined) return hash.update(',null]').digest('hex');
  hash.update(',"');
  for (let start = 0; start < body.length; start += SLICE_BYTES) {
    const slice = body.toString('latin1', start, start + SLICE_BYTES);
    hash.update(JSON.stringify(slice).slice(1, -1));
  }
  return hash.update('"]').digest('hex');
}
