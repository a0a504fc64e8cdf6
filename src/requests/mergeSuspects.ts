/** Merges suspects received from other VMs into the crash history. */

import { joinCrashes } from '../crashes/joinCrashes';
import { MAX_SUSPECTS } from './constants';
import type { Router } from './router';
import type { RouterEvent, Suspect } from './routerMessage';
import type { SuspectRecord } from './crashHistory';

type SuspectsLearned = Extract<RouterEvent, { readonly type: 'suspects-learned' }>;

/** @returns the router with the suspects; a crash that several VMs observed counts once */
export function mergeSuspects(router: Router, { suspects, atMs }: SuspectsLearned): Router {
  let { records } = router.crashHistory;
  for (const suspect of suspects) {
    const known = records.get(suspect.fingerprint);
    if (known === undefined && records.size >= MAX_SUSPECTS) continue;
    records = records.set(suspect.fingerprint, mergeRecord(known, suspect, atMs));
  }
  return { ...router, crashHistory: { ...router.crashHistory, records } };
}

function mergeRecord(
  known: SuspectRecord | undefined,
  suspect: Suspect,
  atMs: number,
): SuspectRecord {
  const { servers, crashes } = joinCrashes(known, suspect);
  const lastCrashAtMs = Math.max(known?.lastCrashAtMs ?? -Infinity, atMs - suspect.ageMs);
  const isCleared = known !== undefined && known.isCleared && crashes === known.crashes;
  return { servers, crashes, lastCrashAtMs, isCleared };
}
