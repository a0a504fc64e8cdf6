/** Keeps the newest digest of each failure domain, and hands them on with their age. */

import type { DomainDigest } from './peer';

export interface DigestBook {
  readonly learn: (digest: DomainDigest) => void;
  /** Digests of all other domains that are still of use, their members as old as they are by now. */
  readonly listFar: (ownDomain: string) => readonly DomainDigest[];
}

/**
 * @param now monotonic clock, milliseconds
 * @param validMs age from which a digest is no longer handed on, milliseconds
 */
export function createDigestBook(now: () => number, validMs: number): DigestBook {
  const known = new Map<string, { readonly digest: DomainDigest; readonly atMs: number }>();
  return {
    learn: (digest) => {
      known.set(digest.failureDomain, { digest, atMs: now() });
    },
    listFar: (ownDomain) =>
      [...known.values()]
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
