/** Updates fields of the membership. */

import type { Fleet } from './fleet';
import type { Membership } from './membership';

/** @returns the fleet with these fields of its membership replaced */
export function withMembership(fleet: Fleet, changes: Partial<Membership>): Fleet {
  return { ...fleet, membership: { ...fleet.membership, ...changes } };
}
