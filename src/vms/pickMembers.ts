/** Picks members at random. */

import { createRandom } from '../random/createRandom';
import type { Member } from './member';

/**
 * Picks distinct members.
 *
 * @param members the members to pick from
 * @param count maximum number of members
 * @param seed fresh randomness
 */
export function pickMembers(
  members: readonly Member[],
  count: number,
  seed: number,
): readonly Member[] {
  const random = createRandom(seed);
  const pool = [...members];
  const picked: Member[] = [];
  while (picked.length < count && pool.length > 0) {
    const index = random.integer(pool.length);
    const [member] = pool.splice(index, 1);
    if (member !== undefined) picked.push(member);
  }
  return picked;
}
