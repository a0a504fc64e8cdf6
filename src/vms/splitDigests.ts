/** Splits digests into parts that each fit in one datagram. */

import { DIGEST_BYTES, DIGESTS_BUDGET_BYTES, MAX_DIGESTS_PER_DATAGRAM } from './fleetConstants';
import type { DigestTuple } from './gossip';

/** @returns the parts, in the order of the digests */
export function splitDigests(digests: readonly DigestTuple[]): readonly (readonly DigestTuple[])[] {
  const parts: DigestTuple[][] = [];
  let part: DigestTuple[] = [];
  let bytes = 0;
  for (const digest of digests) {
    const size = DIGEST_BYTES + digest[0].length;
    if (bytes + size > DIGESTS_BUDGET_BYTES || part.length >= MAX_DIGESTS_PER_DATAGRAM) {
      parts.push(part);
      part = [];
      bytes = 0;
    }
    part.push(digest);
    bytes += size;
  }
  if (part.length > 0) parts.push(part);
  return parts;
}
