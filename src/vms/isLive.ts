/** Whether a member counts as running. */

import type { MemberEntry } from './member';

/** @returns whether the member is alive, or only suspected to have failed */
export function isLive(member: MemberEntry): boolean {
  return member.status === 'alive' || member.status === 'suspect';
}
