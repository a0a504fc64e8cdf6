/** Limits the number of suspect contents. */

import { Map } from 'immutable';
import { MAX_SUSPECTS, SUSPECT_EXPIRY_MS } from './constants';
import type { CrashHistory } from './crashHistory';

/**
 * Makes room for one more record: removes expired records and, if that is not enough, those with the
 * oldest crashes.
 *
 * @param records all records, by fingerprint
 * @param atMs the current time on this VM's clock, milliseconds
 */
export function pruneSuspects(
  records: CrashHistory['records'],
  atMs: number,
): CrashHistory['records'] {
  if (records.size < MAX_SUSPECTS) return records;
  const unexpired = records.filter((record) => atMs - record.lastCrashAtMs < SUSPECT_EXPIRY_MS);
  if (unexpired.size < MAX_SUSPECTS) return unexpired;
  const byAge = unexpired.sortBy((record) => record.lastCrashAtMs);
  return Map(byAge.skip(unexpired.size - MAX_SUSPECTS + 1));
}
