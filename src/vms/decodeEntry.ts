/** Decodes a member's entry from its wire tuple. */

import type { EntryTuple } from './gossip';
import type { MemberEntry, MemberStatus } from './member';

const STATUSES: readonly MemberStatus[] = ['alive', 'suspect', 'dead', 'left'];

/** @param tuple a tuple that has been validated */
export function decodeEntry(tuple: EntryTuple): MemberEntry {
  const [id, incarnation, version, status, flags, applied] = tuple;
  return {
    id,
    incarnation,
    version,
    status: STATUSES[status] ?? 'alive',
    isDraining: (flags & 1) !== 0,
    isAccepting: (flags & 2) !== 0,
    applied,
  };
}
