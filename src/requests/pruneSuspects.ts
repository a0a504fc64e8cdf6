/** Keeps the number of suspect contents within its limit. */

import { Map } from 'immutable';
import { MAX_SUSPECTS, SUSPECT_MS } from './constants';
import type { Suspicion } from './suspicion';

/**
 * Makes room for one more record: first those that are no longer refused go, then those whose crash is
 * the longest ago.
 *
 * @param records all records, by fingerprint
 * @param atMs now, on this VM's clock, milliseconds
 */
export function pruneSuspects(records: Suspicion['records'], atMs: number): Suspicion['records'] {
  if (records.size < MAX_SUSPECTS) return records;
  const fresh = records.filter((record) => atMs - record.lastCrashAtMs < SUSPECT_MS);
  if (fresh.size < MAX_SUSPECTS) return fresh;
  const byAge = fresh.sortBy((record) => record.lastCrashAtMs);
  return Map(byAge.skip(fresh.size - MAX_SUSPECTS + 1));
}
