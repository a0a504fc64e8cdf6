/** The order of what is said of one member, after SWIM (Das, Gupta and Motivala, 2002). */

import type { MemberEntry, MemberStatus } from './member';

const GRAVITY: Readonly<Record<MemberStatus, number>> = { alive: 0, suspect: 1, dead: 2, left: 3 };

/**
 * Whether one entry replaces another of the same member: by incarnation, then by version, then by the
 * graver status. What a member says of itself comes with a higher version, so it refutes.
 */
export function outranks(entry: MemberEntry, other: MemberEntry): boolean {
  if (entry.incarnation !== other.incarnation) return entry.incarnation > other.incarnation;
  if (entry.version !== other.version) return entry.version > other.version;
  return GRAVITY[entry.status] > GRAVITY[other.status];
}
