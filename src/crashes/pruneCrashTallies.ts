/** Limits the number of contents whose crashes are kept. */

import { Map } from 'immutable';
import type { CrashTally } from './crashTally';

export interface TallyBounds {
  /** Maximum number of contents. */
  readonly maxTallies: number;
  /** Time after the last crash for which a tally is of use, milliseconds. */
  readonly validMs: number;
}

/**
 * Makes room for one more tally: removes those that are of no use any more and, if that is not enough, those
 * with the oldest crashes.
 *
 * @param tallies all tallies, by fingerprint
 * @param atMs the current time on this VM's clock, milliseconds
 */
export function pruneCrashTallies<Tally extends Pick<CrashTally, 'lastCrashAtMs'>>(
  tallies: Map<string, Tally>,
  atMs: number,
  { maxTallies, validMs }: TallyBounds,
): Map<string, Tally> {
  if (tallies.size < maxTallies) return tallies;
  const valid = tallies.filter((tally) => atMs - tally.lastCrashAtMs < validMs);
  if (valid.size < maxTallies) return valid;
  const byAge = valid.sortBy((tally) => tally.lastCrashAtMs);
  return Map(byAge.skip(valid.size - maxTallies + 1));
}
