/** Random choice of members. */

import { createRandom } from '../random/createRandom';
import type { Member } from './member';

/**
 * Draws members without repeating one.
 *
 * @param members to draw from
 * @param count how many at most
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
