/** Which members count as running. */

import type { MemberEntry } from './member';

/** @returns whether the member answers, or is only suspected not to */
export function isLive(member: MemberEntry): boolean {
  return member.status === 'alive' || member.status === 'suspect';
}
