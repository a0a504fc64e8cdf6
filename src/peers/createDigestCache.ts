/** Caches the newest digest of each failure domain and lists the digests with their current age. */

import type { DomainDigest } from './peer';

export interface DigestCache {
  readonly record: (digest: DomainDigest) => void;
  /** Lists the valid digests of all other domains; `heardAgoMs` includes the time in the cache. */
  readonly listOtherDomains: (ownDomain: string) => readonly DomainDigest[];
}

/**
 * @param now monotonic clock, milliseconds
 * @param validMs age from which a digest is no longer listed, milliseconds
 */
export function createDigestCache(now: () => number, validMs: number): DigestCache {
  const digests = new Map<string, { readonly digest: DomainDigest; readonly atMs: number }>();
  return {
    record: (digest) => {
      digests.set(digest.failureDomain, { digest, atMs: now() });
    },
    listOtherDomains: (ownDomain) =>
      [...digests.values()]
        .filter(({ digest }) => digest.failureDomain !== ownDomain)
        .filter(({ atMs }) => now() - atMs < validMs)
        .map(({ digest, atMs }) => ({
          ...digest,
          members: digest.members.map((member) => ({
            ...member,
            heardAgoMs: member.heardAgoMs + now() - atMs,
          })),
        })),
  };
}
