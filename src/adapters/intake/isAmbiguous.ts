/**
 * Tells whether a request could be read in two ways: a field that may stand once stands twice, and Node.js joins or
 * drops the values; or another transfer coding lies below the chunks, which the forwarded request would not name.
 */

import type { IncomingMessage } from 'node:http';

/** @param singleFields names of fields that may stand once, in lower case */
export function isAmbiguous(
  { rawHeaders, headers }: Pick<IncomingMessage, 'rawHeaders' | 'headers'>,
  singleFields: ReadonlySet<string>,
): boolean {
  const coding = headers['transfer-encoding'];
  if (coding !== undefined && coding.trim().toLowerCase() !== 'chunked') return true;
  const names = rawHeaders
    .filter((_, index) => index % 2 === 0)
    .map((name) => name.toLowerCase())
    .filter((name) => singleFields.has(name));
  return new Set(names).size < names.length;
}
