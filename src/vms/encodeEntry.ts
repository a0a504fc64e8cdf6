/** Encodes a member's entry as its wire tuple. */

import type { EntryTuple } from './gossip';
import type { MemberEntry, MemberStatus } from './member';

const STATUS_CODES: Readonly<Record<MemberStatus, number>> = {
  alive: 0,
  suspect: 1,
  dead: 2,
  left: 3,
};

/** @returns the tuple; the inverse of `decodeEntry` */
export function encodeEntry(entry: MemberEntry): EntryTuple {
  const flags = (entry.isDraining ? 1 : 0) + (entry.isAccepting ? 2 : 0);
  const status = STATUS_CODES[entry.status];
  return [entry.id, entry.incarnation, entry.version, status, flags, entry.applied];
}
