/** Precedence of entries of one member, after SWIM (Das, Gupta and Motivala, 2002). */

import type { MemberEntry, MemberStatus } from './member';

const SEVERITY: Readonly<Record<MemberStatus, number>> = { alive: 0, suspect: 1, dead: 2, left: 3 };

/**
 * Whether one entry replaces another of the same member: by incarnation, then by version, then by the
 * more severe status. A member refutes a suspicion by raising its own version.
 */
export function outranks(entry: MemberEntry, other: MemberEntry): boolean {
  if (entry.incarnation !== other.incarnation) return entry.incarnation > other.incarnation;
  if (entry.version !== other.version) return entry.version > other.version;
  return SEVERITY[entry.status] > SEVERITY[other.status];
}
